Feature: every answer states its coverage truthfully

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time

  Scenario: both replicas of a shard are lost while the store is down
    Guards against a partial answer that is reported as complete.
    When the cluster's store is down
    And both replicas of cluster shard 2 are down for 6000 ms
    Then cluster daemon 0 reports part 2 missing and no other
    And cluster daemon 1 rejects a query that requires a coverage of 1.0
    When all faults of the cluster's store are cleared
    Then queries of the cluster are complete again
    And no invariant was violated in the cluster

  Scenario: index repartitioned under load while a holder is suspended
    Guards against counting a repartitioned part twice or not at all.
    Given the cluster receives queries continuously
    When cluster daemon 3 is suspended
    And the cluster's index is repartitioned
    And the cluster runs for 1 s
    And cluster daemon 3 is resumed
    Then answers of the cluster come from the new index version
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster
