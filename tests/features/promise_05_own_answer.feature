Feature: every caller receives the whole answer to its own request

  Background:
    Given a cluster of 4 daemons and servers with 5 ms of service time

  Scenario: answers arrive late, out of order and over connections that stop responding
    Guards against returning the late answer of one request to another request.
    Given all servers of the cluster are intermittently slow
    And 8 callers of the cluster check that answers echo their requests
    When the cluster runs for 2 s
    And the open connections of cluster server bins-01-a stop responding
    And cluster daemon 2 is suspended
    And the cluster runs for 3 s
    And cluster daemon 2 is resumed
    And the cluster runs for 1 s
    Then every caller of the cluster received only answers to its own requests
    And the cluster's upstreams have received cancellations
    And no invariant was violated in the cluster
