Feature: following the platform's store, with faults of the store

  Background:
    Given a platform with 2 shards and the daemon "e1" in "a1"

  Scenario: a leaving server gets no new requests
    Given the server "item-a1" says that it is leaving
    When a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    And "item-a1" has run nothing

  Scenario: a removed server is used only while it may still serve
    # Guards against requests to a server that has left, and against refusing
    # requests when entries of living servers have lapsed.
    Given both servers of items lose their entries
    When a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server
    When 1000 ms have passed
    And a caller sends an item request to "e1"
    Then it gets 503 with a time to come back

  Scenario: servers whose entries lapsed return with them
    Given both servers of items lose their entries
    And both servers of items get their entries back
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

  Scenario Outline: requests are served while the store is away
    Given the store is "<mode>"
    When a caller sends 3 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    When the store is "up" again
    And the configuration gives requests 300 ms
    Then "e1" follows it within 3000 ms

    Examples:
      | mode   |
      | busy   |
      | silent |
      | reset  |

  Scenario: a change that a silent watch has missed is found
    # Guards against trusting a waiting watch for longer than the bounds allow.
    Given the store is "silent"
    And the configuration is changed unseen
    When the store is "up" again
    Then "e1" follows it within 2500 ms

  Scenario: a history that is gone is read anew
    Given the store forgets its history after an unseen change
    Then "e1" follows it within 2500 ms

  Scenario: a configuration never goes back
    Given an older version of the configuration is written
    When 300 ms have passed
    Then "e1" has the newest version in force

  Scenario Outline: a malformed entry names no server and harms no other
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

  Scenario: a server that starts again under its id is a new one
    Given the server "item-a1" is "hang"
    And it starts again under its id
    When a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt

  Scenario: a daemon without configuration refuses truthfully
    Given the store is "busy"
    When the daemon "e2" starts in "b1"
    And a caller sends an item request to "e2"
    Then it gets 503 with a time to come back
    And the balancer's call to "e2" gets 503

  Scenario: a daemon that stops cuts no request
    Given every server of items takes 300 ms
    When "e1" is told to stop while a caller waits for an item
    Then it gets 200 with the proof and the body of one server
    And the balancer's call to "e1" gets 503
