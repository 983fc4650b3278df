Feature: an accepted change is in force everywhere within seconds and never reverts

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time
    And the document versions in force in the cluster are monitored

  Scenario: two operators change one document concurrently
    Guards against a change that is reported as accepted and then overwritten.
    When two operators change the cluster's document concurrently
    Then one operator of the cluster succeeds and the other is rejected without a change
    And within 2 s the document change is in force on cluster daemons 0, 1, 2, 3
    And no document version in force in the cluster has decreased
    And no invariant was violated in the cluster

  Scenario: all watches are silent, one daemon is cut off from the store and one suspended
    Guards against a resumed daemon that distributes its outdated version.
    When cluster daemon 0 is cut off from a store that has silent watches
    And cluster daemon 3 is suspended
    And an operator changes the cluster's document
    Then within 12 s the document change is in force on cluster daemons 0, 1, 2
    When the cluster runs for 2 s
    And cluster daemon 3 is resumed
    Then the document change comes into force on cluster daemon 3
    And no document version in force in the cluster has decreased
    And no invariant was violated in the cluster

  Scenario: a daemon is killed before a change and started while the store is down
    Guards against a new daemon that becomes ready with an outdated version.
    When cluster daemon 2 is killed
    And an operator changes the cluster's document
    And the cluster's store is down
    And cluster daemon 2 is started again
    Then the document change comes into force on cluster daemon 2
    And no document version in force in the cluster has decreased
    And no invariant was violated in the cluster
