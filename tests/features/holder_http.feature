Feature: a holder with real connections keeps a server within what it bears

  Scenario Outline: a fault under load causes no overrun
    Given a holder over HTTP with all 3 slots of a server that takes 4 ms
    When the server over HTTP is loaded through a fault: <fault>
    Then the server over HTTP counts no violation
    And the server over HTTP has its full share again

    Examples:
      | fault    |
      | restart  |
      | cold     |
      | silence  |
      | cancel   |
      | drain    |

  Scenario Outline: two holders of one server cause no overrun together
    Given a holder over HTTP with all 3 slots of a server that takes 4 ms
    And another holder over HTTP takes 1 of the slots and no cold-start slot
    When the server over HTTP is loaded through a fault: <fault>
    Then the server over HTTP counts no violation
    And the server over HTTP has its full share again

    Examples:
      | fault   |
      | restart |
      | cold    |
      | drain   |
