Feature: explaining requests from logs and metrics

  Scenario: a burst of one event leaves room for the others
    # Guards against logs whose volume grows with the load.
    When 1000 lines of one event and 5 of another are logged in a second
    Then at most 40 lines of the first and all of the other are written
    And a second later a line counts the 960 that were left out

  Scenario: lines that are left out in the last second of a process are counted
    # Guards against a process that ends under load and hides how much it did not log.
    When 1000 lines of one event and 5 of another are logged in a second
    Then at the end of the process a line counts the 960 that were left out

  Scenario: failures are written although routine lines have reached their limit
    When 400 routine lines of 20 events are logged before 10 failures
    Then at most 150 routine lines and all 10 failures are written

  Scenario: a log reader that reads nothing does not block the daemon
    Given logs go to a pipe that nobody reads
    When 20000 lines are logged
    Then it takes less than 5 s and the log buffer holds at most 300000 B

  Scenario: a log pipe without a reader leaves nothing in the buffer
    Given logs go to a pipe whose reader has closed it
    When 1000 lines are logged
    Then the log buffer holds at most 0 B

  Scenario Outline: the cause of a failed request is found from its id
    Given a platform with 3 shards and the daemon "e1" in "a1"
    And its logs are recorded
    And <fault>
    When a caller sends <request> to "e1"
    Then explaining the request prints "<cause>"

    Examples:
      | fault                                | request         | cause                          |
      | both servers of shard 0 are "hang"   | a query         | answered in part: 1 parts missing; shard-0 was still waiting |
      | every server of items is "shed"      | an order        | refused, it has not run        |
      | every server of items is "shed"      | an item request | items was refused by item-     |
      | every server of items is "reset"     | an order        | failed, it may have run        |
      | every server of items is "truncate"  | an order        | items lost its answer from item- |
      | every server of items is "hang"      | an order        | out of time                    |

  Scenario: the lines of two daemons are combined
    Given a platform with 4 shards and the daemon "e1" in "a1"
    And the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    And both servers of shard 0 are "hang"
    And its logs are recorded
    When a caller sends a query to "e1"
    Then explaining the request prints "gathered for a peer"
    And explaining the request prints "for_peer=e1"
    And explaining the request prints "shard-0 was still waiting for s0-b1"

  Scenario: an unknown request and an unreadable file are clear errors
    Then explaining "nobody" in an empty file exits with 1 and prints "no line names"
    And explaining "nobody" in a missing file exits with 2 and prints "No such file"

  Scenario: 20000 lines are read in less than 2 s
    Given a log of 20000 lines
    Then explaining a request of it takes less than 2 s

  Scenario: metrics count requests by outcome
    Given a platform with 3 shards and the daemon "e1" in "a1"
    When a caller sends a query to "e1"
    And the metrics of "e1" are fetched
    Then they contain "hemlockspoke_requests_answered_total 1"
    And they contain "hemlockspoke_request_ms_count 1"
