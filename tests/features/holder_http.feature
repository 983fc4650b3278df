Feature: a holder with real connections stays within the limits of a server

  Scenario Outline: a fault under load exceeds no limit
    Given a holder over HTTP with all 3 slots of a server with a service time of 4 ms
    When the server over HTTP is under load during a fault: <fault>
    Then the server over HTTP counts no violation
    And the server over HTTP has its full share again

    Examples:
      | fault    |
      | restart  |
      | cold     |
      | silence  |
      | cancel   |
      | drain    |

  Scenario Outline: two holders of one server together exceed no limit
    Given a holder over HTTP with all 3 slots of a server with a service time of 4 ms
    And another holder over HTTP takes 1 of the slots and no cold-start slot
    When the server over HTTP is under load during a fault: <fault>
    Then the server over HTTP counts no violation
    And the server over HTTP has its full share again

    Examples:
      | fault   |
      | restart |
      | cold    |
      | drain   |
