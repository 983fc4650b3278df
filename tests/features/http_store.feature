Feature: HTTP client of the store
  Guards against a write that is reported as not applied although it was: an order
  could then run twice, or a share be held twice.

  Background:
    Given a platform stand-in and a store client of VM "e1" with a timeout of 300 ms

  Scenario: objects are written conditionally, read and listed
    When the client puts "services/bins" if its version is 0
    Then the store call succeeds with 1
    When the client puts "services/bins" if its version is 0
    Then the store call fails as "conflict" at version 1
    When the client gets "services/bins"
    Then the store call gives the object that was put
    When the client gets "services/none"
    Then the store call fails as "not_found"
    When the client lists "services/" without values
    Then the store call lists "services/bins" without a value

  Scenario Outline: the result of a write claims no more than is known
    Given the platform fault <fault>
    When the client puts "fleet" if its version is 0
    Then the store call fails as "<kind>"
    And the platform has <count> objects

    Examples:
      | fault                                                | kind        | count |
      | {"kind": "down"}                                     | unavailable | 0     |
      | {"kind": "refuse", "duration_ms": 60000}             | unavailable | 0     |
      | {"kind": "down", "mode": "close"}                    | unknown     | 0     |
      | {"kind": "down", "mode": "hang"}                     | unknown     | 0     |
      | {"kind": "slow", "delay_ms": 900}                    | unknown     | 1     |
      | {"kind": "lose_reply", "count": 1}                   | unknown     | 1     |
      | {"kind": "lose_reply", "count": 1, "mode": "hang"}   | unknown     | 1     |

  Scenario: a call that has timed out may be applied later
    Given the platform fault {"kind": "slow", "delay_ms": 500, "before_apply": true}
    When the client puts "fleet" if its version is 0
    Then the store call fails as "unknown"
    And the platform has 0 objects
    And the platform has 1 object after 400 ms

  Scenario: a value over the size limit is reported as not applied
    When the client puts 1100000 bytes in "fleet"
    Then the store call fails as "unavailable"
    And the platform has 0 objects

  Scenario: an outage for one daemon does not affect the others
    Given the platform fault {"kind": "down", "vms": ["e2"]}
    When the client puts "fleet" if its version is 0
    Then the store call succeeds with 1
    Given the platform fault {"kind": "down", "vms": ["e1"]}
    When the client gets "fleet"
    Then the store call fails as "unavailable"

  Scenario: connections are reused, and replaced after a stall
    When the client gets "fleet" 5 times
    Then the platform has seen 1 connection
    Given the platform fault {"kind": "silence_connections"}
    When the client gets "fleet"
    Then the store call fails as "unavailable"
    When the client gets "fleet"
    Then the store call fails as "not_found"
    And the platform has seen 2 connections

  Scenario: a watch returns a change, or nothing after its wait
    When the client watches "services/" for 100 ms
    Then the store call lists nothing
    When the client watches "services/" for 5000 ms while "services/bins" is put
    Then the store call lists "services/bins" with its value

  Scenario: the connection of a silent watch is closed and not reused
    Given the platform fault {"kind": "watch_silent"}
    When the client watches "services/" for 50 ms
    Then the store call fails as "unavailable"
    When the client gets "fleet"
    Then the store call fails as "not_found"

  Scenario: the list of VMs lags behind its changes
    Given the platform list holds the VMs "e1,e2"
    And the platform list holds the VMs "e1" with a lag of 300 ms
    When the client lists the VMs
    Then the store call gives the VMs "e1,e2"
    When 350 ms pass for the platform
    And the client lists the VMs
    Then the store call gives the VMs "e1"

  Scenario: the stand-in runs as a process with its admin interface
    When the platform process is started with the fault {"kind": "down"}
    Then its objects answer 503
    And its counters report 1 call
