Feature: a request rejected as "not run" was never executed

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time

  Scenario: all holders are killed while they run orders of another daemon
    Guards against reporting "not run" for an order that a killed holder has sent.
    Given cluster daemon 1 has no available order server in its own region
    And cluster orders take 2500 ms and 0% of their replies are lost
    When 1 order(s) sent through cluster daemon 1 are running
    And all cluster daemons except 1 are killed
    Then the running cluster orders are reported as unknown after one execution each
    And no invariant was violated in the cluster

  Scenario: the store fails and both store and upstreams lose replies
    Guards against reporting "not run" for a claim or a send whose reply was lost.
    Given cluster orders take 20 ms and 20% of their replies are lost
    And 4 callers of the cluster retry their orders through other daemons
    When the cluster's store loses replies
    And the cluster runs for 2 s
    And the cluster's store is down
    And the cluster runs for 1 s
    And all faults of the cluster's store are cleared
    And the cluster runs for 1 s
    Then cluster orders were rejected as not run and none of them was executed
    And some orders of the cluster were done
    And no invariant was violated in the cluster
