Feature: a cold-starting upstream receives no more work than it can handle

  Background:
    Given a cluster of 4 daemons and servers with 20 ms of service time

  Scenario: half of the servers restart cold under load while a holder is killed
    Guards against another holder, or a new one, using all slots of a cold server.
    Given the cluster receives 30 queries per second
    When cluster daemon 1 is killed
    And cluster servers bins-00-a, bins-01-a, bins-02-a, bins-03-a, bins-04-a, bins-05-a restart cold
    And cluster daemon 1 is started again
    Then cluster servers bins-00-a, bins-03-a warm up by processing queries
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster

  Scenario: servers turn cold without closing connections while the store is down
    Guards against detecting a cold server only when its connections break.
    Given the cluster receives 30 queries per second
    When the cluster's store is down
    And cluster servers bins-01-b, bins-02-b turn cold and keep their connections
    Then cluster servers bins-01-b, bins-02-b warm up by processing queries
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster
