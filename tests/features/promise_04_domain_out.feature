Feature: a failure domain taken out receives no new work after 3 s

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time

  Scenario: operators race while one daemon is cut off from the store and one is suspended
    Guards against a change that only daemons with access to the store apply.
    Given the cluster receives queries continuously
    When cluster daemon 0 is cut off from a store that has silent watches
    And cluster daemon 3 is suspended
    And two operators take cluster domain qc-a out concurrently
    And the cluster runs for 1 s
    And cluster daemon 3 is resumed
    Then one operator of the cluster succeeds and the other is rejected without a change
    And 3 s after the change cluster domain qc-a receives no new work
    When cluster domain qc-a is taken back in
    Then cluster domain qc-a receives work again
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster

  Scenario: a daemon reaches neither the store nor a peer
    Guards against a daemon that keeps using a fleet object it cannot renew.
    When cluster daemon 0 reaches neither the store nor a peer for 3 s
    Then cluster daemon 0 rejects new work and is not ready
    And no invariant was violated in the cluster
