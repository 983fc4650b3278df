Feature: rollouts of a fleet, without a network

  Scenario Outline: a good version is completed in time
    # Guards against good versions that pauses, cold starts, noise or a region in trouble
    # make look bad, and against old servers that stop with requests in progress.
    Given fleets of 88 daemons with <rate> requests a second, seeds 0 to 3, <trouble>
    When orders move the service to a good version
    Then all orders end as "completed" within 12 s
    And no request was in progress at, or sent to, an old server after that

    Examples:
      | rate | trouble             |
      | 20   | calm                |
      | 4    | calm                |
      | 20   | a region in trouble |

  Scenario Outline: a bad version is rolled back within its exposure
    # Guards against evidence that is too thin, and against an exposure that adds up over
    # the daemons.
    Given fleets of <daemons> daemons with 20 requests a second, seeds 0 to 1, calm
    When orders move the service to a version that is bad: <fault>
    Then all orders end as "rolled_back" within 12 s
    And the bad version got at most its exposure

    Examples:
      | daemons | fault                       |
      | 88      | 10% fail                    |
      | 88      | 40% fail                    |
      | 10      | 100% fail                   |
      | 300     | 100% fail                   |
      | 88      | 3 times slower              |
      | 10      | 8 times slower              |
      | 88      | 40% fail after half of time |
      | 88      | one route of six fails      |

  Scenario Outline: bad answers are those of the version unless one server has most
    # Guards against failures of all servers that are taken for trouble of one of them,
    # and against trouble of one server that is taken for a bad version.
    Given answers of the old version: 50 with 1 failure, 47 with 1 failure, 47
    When servers of the target version answer <answers>
    Then the target version is <result>

    Examples:
      | answers                                                    | result  |
      | 20 with 1 failure, 13 with 2 failures, 10 with 1 failure   | suspect |
      | 16 with 1 failure, 14 with 3 failures, 13                  | suspect |
      | 18 with 3 failures, 12, 13                                 | suspect |
      | 16, 10 with 5 failures, 17                                 | fit     |
      | 16 with 1 failure, 9 with 6 failures, 17                   | fit     |
      | 15 with 3 failures, 15 with 3 failures, 13 with 2 failures | bad     |

  Scenario Outline: an order ends although a part fails
    # Guards against a verdict that is lost with its decider, or that never ends.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 1, calm
    And <failure>
    When orders move the service to a version that is bad: 100% fail
    Then all orders end as "rolled_back" within 16 s
    And the bad version got at most its exposure

    Examples:
      | failure                                             |
      | the decider is killed between verdict and write     |
      | the decider is killed between write and reply       |
      | a third of the daemons is cut off from 3 s to 8 s   |
      | the store is away from 3 s to 12 s                  |
      | the replies to writes are lost                      |
      | a daemon that collects starts again at 4 s          |

  Scenario: an order that is replaced starts again
    # Guards against evidence on one version that decides on another.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 1, calm
    When orders move the service to a version that is bad: 100% fail
    And each is replaced by an order for the version in use
    Then all orders end as "completed" for the replacement

  Scenario: an order that is removed leaves both versions in use
    # Guards against a version that stays withheld after its order is gone.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 0, calm
    When orders move the service to a version that is bad: 100% fail
    And each is removed after it has ended
    Then no daemon withholds a server

  Scenario: a daemon that starts sends nothing to a version that was rolled back
    # Guards against a daemon that samples before it knows of the verdict.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 0, calm
    When orders move the service to a version that is bad: 100% fail
    And all daemons start again after that
    Then the target version gets nothing

  Scenario: an order whose target has no servers is rolled back
    # Guards against an order that is completed with nothing to send requests to.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 0, calm
    And the target version has no servers
    When orders move the service to a good version
    Then all orders end as "rolled_back" within 12 s

  Scenario: malformed messages of other daemons change nothing
    # Guards against a daemon that stops, or moves a service, because of an odd message.
    Given fleets of 10 daemons with 20 requests a second, seeds 0 to 0, calm
    When daemons get odd messages about the order
    Then no daemon has a phase or totals of them
