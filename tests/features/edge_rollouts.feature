Feature: rollouts on the platform, with real sockets

  Background:
    Given three daemons with bounds for rollouts

  Scenario: a bad version is rolled back
    # Guards against a bad version that stays in use, or gets more than its exposure.
    Given servers of the version "v2" of items that answer as "fail"
    When an order moves items to "v2" within 8 s
    And callers send 30 requests a second for 8 s
    Then the status of the order is "rolled_back" for "v2"
    And the servers of "v2" have got at most their exposure
    And the servers of "v2" get no request any more
    And all requests were answered by a server
    And the status of the order had the states "running, rolled_back" one after the other

  Scenario: a good version is completed, and the old servers stop at once
    # Guards against requests that are cut when the old servers stop, or sent to them.
    Given servers of the version "v2" of items that answer as "serve"
    When an order moves items to "v2" within 8 s
    And callers send 30 requests a second for 10 s
    Then the status of the order is "completed" for "v2"
    And the servers of "v1" got nothing after the status was "completed"
    And all requests were answered by a server
    And the status of the order had the states "running, completed" one after the other

  Scenario Outline: a shard of queries is moved or rolled back
    # Guards against parts that are lost, or sent to both versions, around a switch.
    Given servers of the version "v2" of shard-0 that answer as "<behaviour>"
    When an order moves shard-0 to "v2" within 8 s
    And callers send 20 requests a second for 9 s
    Then the status of the order is "<state>" for "v2"
    And the servers of "<other>" get no request any more
    And all requests were answered by a server
    And all queries were answered in full

    Examples:
      | behaviour | state       | other |
      | fail      | rolled_back | v2    |
      | serve     | completed   | v1    |

  Scenario Outline: a write whose reply is lost takes effect once
    # Guards against a rollout that waits for ever, or ends twice, after a lost reply.
    Given servers of the version "v2" of items that answer as "fail"
    And the store loses the reply to the write of "<state>"
    When an order moves items to "v2" within 8 s
    And callers send 30 requests a second for 5 s
    Then the status of the order is "rolled_back" for "v2"
    And the status of the order had the states "running, rolled_back" one after the other

    Examples:
      | state       |
      | running     |
      | rolled_back |

  Scenario: an order ends while the store takes long for each write
    # Guards against a verdict that waits for the store, and a state that is written
    # twice after calls that timed out but take effect.
    Given servers of the version "v2" of items that answer as "fail"
    And the store takes 5 s for each write of a status
    When an order moves items to "v2" within 8 s
    And callers send 30 requests a second for 14 s
    Then the status of the order is "rolled_back" for "v2"
    And the servers of "v2" have got at most their exposure
    And the servers of "v2" got nothing in the 3 s before that
    And all requests were answered by a server
    And the status of the order had the states "running, rolled_back" one after the other

  Scenario: a version without an order is used
    # Guards against replacements that are taken for a rollout.
    Given servers of the version "v2" of items that answer as "serve"
    When callers send 30 requests a second for 4 s
    Then the daemons may send requests to the servers of "v2"
    And all requests were answered by a server

  Scenario: malformed orders change nothing
    # Guards against an odd object that stops the daemons or withholds a version.
    Given servers of the version "v2" of items that answer as "serve"
    And odd orders for items and other services
    When callers send 30 requests a second for 4 s
    Then the daemons may send requests to the servers of "v2"
    And all requests were answered by a server
