Feature: planned stops of a daemon under load

  Scenario Outline: each request that reaches a daemon before it stops is answered
    # Guards against requests that are cut off since the daemon takes a connection on
    # which nothing has been sent yet for an idle one.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    And callers that connect in a loop and send their request after <pause_ms> ms
    When the daemon "e1" is told to stop
    Then it stops within 5300 ms
    And at least 100 callers were answered while it was stopping
    And no caller that had connected was left without an answer

    Examples:
      | pause_ms |
      | 0        |
      | 30       |

  Scenario: connections that wait to be accepted are answered
    # Guards against connections in the kernel's queue, which a close of the port resets.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    When 20 callers connect and send a request while the daemon is busy closing its port
    Then all of them get an answer
