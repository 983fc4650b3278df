Feature: hedges of a query's missing parts through daemons near other servers

  Background:
    Given a query to 20 shards whose aim is 100 ms away
    And hedges that need 40 ms, due after 45 ms

  Scenario: a missing part is hedged though other daemons have not reported
    # Guards against hedges that come too late, since they wait for the reports of
    # daemons in other regions.
    Given 1 part is missing, and 8 parts are at daemons that have not reported
    When 50 ms of the query have passed
    Then 1 part has been hedged

  Scenario: parts are hedged when their daemons have reported in time
    Given 1 part is missing, and 8 parts are at daemons that have not reported
    When 50 ms of the query have passed
    And 1 more of their parts is missing when they report
    And 10 ms of the query have passed
    Then 2 parts have been hedged

  Scenario: each part is hedged once
    # Guards against extra load that grows with the time to the aim.
    Given 2 parts are missing, and 0 parts are at daemons that have not reported
    When 95 ms of the query have passed
    Then 2 parts have been hedged

  Scenario: no hedge goes to a server that has the request already
    # Guards against twice the load on the only server of a shard that stands.
    Given 2 parts are missing, and 0 parts are at daemons that have not reported
    And the gathering daemon of 1 missing part waits for its other server
    When 95 ms of the query have passed
    Then 1 part has been hedged

  Scenario: nothing is hedged while servers are short of room
    # Guards against more load on servers that are overloaded.
    Given 4 parts are missing, and 8 parts are at daemons that have not reported
    When 95 ms of the query have passed
    Then 0 parts have been hedged

  Scenario Outline: a hedge that can't arrive by the aim is sent only if it is needed
    Given 0 parts are missing, and 8 parts are at daemons that have not reported
    When 65 ms of the query have passed
    And 2 more of their parts are missing when they report
    And the minimum coverage is <coverage>
    And 10 ms of the query have passed
    Then <count> parts have been hedged

    Examples:
      | coverage    | count |
      | reached     | 0     |
      | not reached | 2     |

  Scenario: a hedge that is due is sent though its time was estimated too long
    # Guards against missing parts at a busy daemon, whose timers are late, and at one that
    # has not measured the round trip.
    Given hedges that need 40 ms, due after 65 ms
    And 1 part is missing, and 0 parts are at daemons that have not reported
    When 95 ms of the query have passed
    Then 1 part has been hedged
