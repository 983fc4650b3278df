Feature: views of accounts and rollouts, with daemons on real sockets

  Scenario: operators see which account is refused, over all daemons
    # Guards against sums that are not what callers got, and against keys in metrics.
    Given a platform with 4 shards and the daemon "e1" in "a1"
    And the daemon "e2" runs in "b1" connected to "e1"
    And the accounts "ralo" and "tyrn" with keys of their names
    And the account "ralo" has {"rate_per_s": 2, "burst": 4}
    And the account "tyrn" has {"rate_per_s": 1000, "burst": 1000}
    When "ralo" floods both daemons for 2 s while "tyrn" sends some
    And an operator asks all daemons for accounts
    Then the view has what callers of "ralo" and "tyrn" got
    And "e1" has no metrics of rollouts
    And neither the view nor the metrics have a key
    When "e2" ends and an operator asks all daemons for accounts
    Then the view names "e2" as missing and the command ends with 5
    When no account exists any more
    And an operator asks "e1" for accounts
    Then the view is empty
    And "e1" has no metrics of accounts

  Scenario: operators see why a version was rolled back
    # Guards against a verdict whose reason only a log has.
    Given three daemons with bounds for rollouts
    And servers of the version "v2" of items that answer as "fail"
    When an order moves items to "v2" within 8 s
    And callers send 30 requests a second for 5 s
    Then the status of the order is "rolled_back" for "v2"
    When an operator asks all daemons for rollouts
    Then the view has the order from "v1" to "v2", which was rolled back

  Scenario: operators see how far a rollout is
    # Guards against an order in progress that looks like one that has ended.
    Given three daemons with bounds for rollouts
    And servers of the version "v2" of items that answer as "serve"
    When an order moves items to "v2" within 8 s
    And callers send 30 requests a second for 3 s
    And an operator asks all daemons for rollouts
    Then the view has the open order with a share and evidence, and no verdict
    When callers send 30 requests a second for 6 s
    Then the status of the order is "completed" for "v2"
    When an operator asks all daemons for rollouts
    Then the view has the completed order, which sends all requests to "v2"
