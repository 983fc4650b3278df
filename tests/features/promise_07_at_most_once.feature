Feature: a non-idempotent request runs at most once

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time

  Scenario: daemons are killed and suspended while replies are lost
    Guards against executing an order again when its key is retried through another
    daemon.
    Given cluster orders take 20 ms and 20% of their replies are lost
    And 4 callers of the cluster retry their orders through other daemons
    When the cluster's store loses replies
    And cluster daemon 1 is killed
    And cluster daemon 2 is suspended
    And the cluster runs for 3 s
    And cluster daemon 2 is resumed
    And cluster daemon 1 is started again
    Then some orders of the cluster were done
    And no invariant was violated in the cluster

  Scenario: orders of a killed daemon are retried through another daemon
    Guards against releasing a claim because its claimant has terminated.
    Given cluster orders take 2500 ms and 0% of their replies are lost
    When 1 order(s) sent through cluster daemon 2 are running
    And cluster daemon 2 is killed
    And cluster daemon 2 is started again
    Then the orders are not executed again when retried through cluster daemon 1
    And no invariant was violated in the cluster
