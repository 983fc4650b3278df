Feature: a graceful shutdown interrupts no request

  Background:
    Given a cluster of 4 daemons and servers with 100 ms of service time

  Scenario: a daemon is terminated under load while the store is down
    Guards against aborting requests of callers and peers when their daemon stops.
    Given the cluster receives 10 queries per second
    And cluster orders take 4000 ms and 0% of their replies are lost
    When 1 order(s) sent through cluster daemon 1 are running
    And the cluster's store is down
    And cluster daemon 1 is terminated
    Then the process of the terminated cluster daemon exited with status zero
    And the running cluster orders are reported as done after one execution each
    When all faults of the cluster's store are cleared
    And cluster daemon 1 is started again
    Then no request to the cluster was interrupted
    And all answers of the cluster match their snapshot and coverage
    And no invariant was violated in the cluster

  Scenario: callers connect in a loop while a daemon is terminated
    Guards against connections in the kernel's queue that the end of the port resets.
    When callers connect in a loop while cluster daemon 1 is terminated
    Then the process of the terminated cluster daemon exited with status zero
    And no caller that had connected was left without an answer of the cluster
    And no invariant was violated in the cluster
