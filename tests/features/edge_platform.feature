Feature: following the platform's store, with faults of the store

  Background:
    Given a platform with 2 shards and the daemon "e1" in "a1"

  Scenario: a leaving server gets no new requests
    Given the server "item-a1" announces that it is leaving
    When a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    And "item-a1" has run nothing

  Scenario: a server without an entry is used only while it may still serve
    # Guards against requests to a server that has left, and against refused requests
    # when the entries of running servers have expired.
    Given the entries of both servers of items expire
    When a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server
    When 1000 ms have passed
    And a caller sends an item request to "e1"
    Then it gets 503 with a retry time

  Scenario: servers are used again when their expired entries return
    Given the entries of both servers of items expire
    And the entries of both servers of items return
    When 1000 ms have passed
    And a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server

  Scenario: a failure domain that is out gets no requests
    Given the failure domain "a1" is out
    When a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    And "item-a1" has run nothing
    When the failure domain "a1" is back
    And the server "item-b1" is now "shed"
    And a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    And "item-a1" has run something

  Scenario Outline: requests are served during an outage of the store
    Given the store is "<mode>"
    When a caller sends 3 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    When the store is "up" again
    And the configuration gives requests 300 ms
    Then "e1" adopts it within 3000 ms

    Examples:
      | mode   |
      | busy   |
      | silent |
      | reset  |

  Scenario: a change that a silent watch has missed is detected
    # Guards against waiting for a watch for longer than the bounds allow.
    Given the store is "silent"
    And the configuration changes without a notification
    When the store is "up" again
    Then "e1" adopts it within 2500 ms

  Scenario: a new list is read when the store has discarded its history
    Given the store discards its history after a change without a notification
    Then "e1" adopts it within 2500 ms

  Scenario: an older configuration is never adopted
    Given an older version of the configuration is written
    When 300 ms have passed
    Then "e1" has the newest version in force

  Scenario Outline: a malformed entry is ignored and affects no other entry
    Given the entry of a server is <entry>
    When a caller sends 4 item requests to "e1"
    Then each gets 200 with a proof for its own attempt

    Examples:
      | entry                                                            |
      | null                                                             |
      | []                                                               |
      | "ready"                                                          |
      | {"service": "items"}                                             |
      | {"service": "items", "address": 7, "zone": "a1", "slots": 2, "state": "ready"} |
      | {"service": "items", "address": "10.0.0.1:1", "zone": "a1", "slots": "2", "state": "ready"} |
      | {"service": "items", "address": "10.0.0.1:1", "zone": "a1", "slots": 2, "state": "sleeping"} |
      | {"service": "items", "address": "10.0.0.1:1", "zone": "a1", "slots": 2, "state": "ready", "born": "x"} |

  Scenario: a restarted server with the same id is treated as a new server
    Given the server "item-a1" is "hang"
    And it restarts with the same id
    When a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt

  Scenario: a daemon without a configuration refuses requests
    Given the store is "busy"
    When the daemon "e2" starts in "b1"
    And a caller sends an item request to "e2"
    Then it gets 503 with a retry time
    And the ready check of "e2" gets 503

  Scenario: a daemon that shuts down completes the requests in progress
    Given every server of items takes 300 ms
    When "e1" gets a stop signal while a caller waits for an item
    Then it gets 200 with the proof and the body of one server
    And the ready check of "e1" gets 503
