Feature: adoption and distribution of the configuration
  Guards against an accepted change that is lost or reverted, against an invalid
  document in force, and against new work on a daemon without any contact.

  Scenario: only higher versions of valid objects are adopted
    Given a configuration without a daemon
    When version 5 of "services/bins" with the text "five" is offered
    Then the configuration has version 5 of "services/bins"
    When version 4 of "services/bins" with the text "four" is offered
    Then the configuration has version 5 of "services/bins"
    When version 7 of "services/bins" with the text "bad" is offered
    Then the configuration has version 5 of "services/bins"
    And the configuration lists "services/bins" as rejected
    When version 6 of "services/bins" with the text "six" is offered
    Then the configuration has version 6 of "services/bins"
    And the configuration lists "services/bins" as rejected
    When version 8 of "services/bins" with the text "eight" is offered
    Then the configuration has version 8 of "services/bins"
    And the configuration lists nothing as rejected

  Scenario Outline: a malformed object is rejected whatever its prefix
    Given a configuration without a daemon
    When version 1 of "<key>" with the value <value> is offered
    Then the configuration has version 0 of "<key>"

    Examples:
      | key           | value                                                    |
      | fleet         | {"failure_domains_out": "mtl-a"}                         |
      | fleet         | []                                                       |
      | services/bins | {"text": 7}                                              |
      | vms/e1        | {"vm": "e2"}                                             |
      | shares/mtl-00 | {"servers": {"s": {"document_version": 1}}}              |
      | shares/mtl-00 | {"servers": {"s": {"document_version": 1, "holders": [{"vm": "e1", "incarnation": 1, "slots": -1, "connections": 1, "cold_start_slots": 0}]}}} |
      | orders/7      | {}                                                       |

  Scenario Outline: a change reaches every daemon within its bound
    Given 9 configuration daemons that have started
    And <fault> among the configuration daemons
    When an operator changes "services/bins"
    Then every daemon has the change within <bound_ms> ms

    Examples:
      | fault                              | bound_ms |
      | no fault                           | 2000     |
      | a silent watch                     | 12000    |
      | a silent watch and e1 cut off      | 12000    |
      | no links between daemons           | 12000    |
      | an unreliable network and e1 cut off | 12000  |

  Scenario: an invalid document changes nothing and every daemon reports it
    Given 9 configuration daemons that have started
    When an operator stores an invalid "services/bins"
    And 12000 ms pass for the configuration
    Then every daemon keeps the previous "services/bins" and reports the invalid one

  Scenario: an announced change is read immediately
    Given 1 configuration daemons that have started
    And a silent watch among the configuration daemons
    When an operator changes "services/bins"
    And the change is announced to daemon e0
    And 20 ms pass for the configuration
    Then every daemon has the change within 0 ms

  Scenario: an announcement during a version check waits for the next check
    Given 1 configuration daemons that have started
    And a slow store and a silent watch among the configuration daemons
    And the change is announced to daemon e0
    When an operator changes "services/bins"
    And the change is announced to daemon e0
    And 6000 ms pass for the configuration
    Then the answer to the announcement came with the change in force

  Scenario: a daemon without contact refuses new work after the limit
    Given 3 configuration daemons that have started
    When e1 reaches neither the store nor a peer
    And 2500 ms pass for the configuration
    Then configuration daemon e1 is ready
    When 1000 ms pass for the configuration
    Then configuration daemon e1 is not ready
    And configuration daemon e0 is ready
    When e1 reaches everything again
    And 2500 ms pass for the configuration
    Then configuration daemon e1 is ready

  Scenario Outline: messages buffered during a pause do not count as contact
    Given 3 configuration daemons that have started
    When configuration daemon <vm> is paused
    And an operator changes "services/bins"
    And 2000 ms pass for the configuration
    And <vm> reaches neither the store nor a peer
    And 2000 ms pass for the configuration
    And configuration daemon <vm> resumes
    Then configuration daemon <vm> is not ready

    Examples:
      | vm |
      | e0 |
      | e1 |
      | e2 |

  Scenario: a group cut off from the store continues and knows the age of its data
    Given 3 configuration daemons that have started
    When the store is down for the configuration
    And 20000 ms pass for the configuration
    Then configuration daemon e1 is ready
    And the store contact of e1 is between 19000 and 23000 ms old

  Scenario: a daemon started without the store adopts its peers' highest versions
    Given 3 configuration daemons that have started
    And a change that only e2 has, with the store down since
    When configuration daemon e1 restarts
    And 1900 ms pass for the configuration
    Then configuration daemon e1 is not ready
    When 700 ms pass for the configuration
    Then configuration daemon e1 is ready
    And every daemon has the change within 0 ms

  Scenario: a peer lost after its answer does not keep a daemon from becoming ready
    Given 3 configuration daemons that have started
    And a change that only e2 has, with the store down since
    When configuration daemon e1 restarts
    And e2 answers e1 and is lost before its objects arrive
    And 2600 ms pass for the configuration
    Then configuration daemon e1 is ready

  Scenario: daemons that all start without the store do not become ready
    Given 3 configuration daemons that have started
    When the store is down for the configuration
    And all configuration daemons restart
    And 20000 ms pass for the configuration
    Then configuration daemon e0 is not ready
    And configuration daemon e1 is not ready
    When the store is up for the configuration
    And 5000 ms pass for the configuration
    Then configuration daemon e1 is ready

  Scenario: two of nine daemons of a failure domain watch the store
    Given 9 configuration daemons that have started
    Then the store has the watches of 2 daemons

  Scenario: fuzzed configuration under crashes, pauses, cuts and concurrent operators
    When configuration daemons are fuzzed with 120 runs of 35 steps
    Then no configuration invariant was violated
