Feature: a draining upstream receives no new work after 3 s

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time

  Scenario: a server drains while the store is down
    Guards against a drain that daemons respect only while the store is available.
    Given the cluster receives queries continuously
    When the cluster's store is down
    And cluster server bins-01-a starts to drain
    Then 3 s after the start of the drain cluster server bins-01-a receives no new work
    And cluster server bins-01-a receives work again after its drain
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster

  Scenario: a server drains while one of its holders is suspended
    Guards against a resumed holder that uses its outdated state of the server.
    Given the cluster receives queries continuously
    When cluster daemon 0 is suspended
    And cluster server bins-00-a starts to drain
    And the cluster runs for 4 s
    And cluster daemon 0 is resumed
    Then 3 s after the start of the drain cluster server bins-00-a receives no new work
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster
