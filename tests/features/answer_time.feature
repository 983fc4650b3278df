Feature: when a query is answered although parts are missing

  Scenario Outline: an answer that becomes possible after the aim
    # Guards against answers that are held back although they would have arrived in
    # time, as gatherers reported some ms late.
    Given a query with a target time of 100 ms whose aim is 90 ms after its arrival
    Then an answer that is possible <time> ms after its arrival <sent>

    Examples:
      | time | sent          |
      | 89   | is held back  |
      | 90   | is sent       |
      | 94   | is sent       |
      | 96   | is held back  |
      | 139  | is held back  |
      | 140  | is sent       |
