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

  Scenario: a version that has answered nothing is not completed
    # Guards against a decider that has just started and knows of no answer.
    Given answers of the old version: 20, 20, 20
    When servers of the target version answer 0, 0, 0
    Then the target version is suspect

  Scenario Outline: the old version shows how many answers are slow
    # Guards against a version with some slow answers that hide behind assumed pauses,
    # and against few answers of the old version that are taken for servers without any.
    Given answers of the old version: <old>
    When servers of the target version answer 30 with 3 slow, 30 with 3 slow, 30 with 3 slow
    Then the target version is <result>

    Examples:
      | old                                                  | result |
      | 300, 300, 300                                        | bad    |
      | 40, 40, 40                                           | fit    |
      | 300 with 15 slow, 300 with 15 slow, 300 with 15 slow | fit    |
      | 300 with 30 slow, 300 with 30 slow, 300 with 30 slow | fit    |

  Scenario: all answers of a service with many servers are counted
    # Guards against answers of the target version that find no row left in the evidence,
    # so that a bad version is completed.
    Given fleets of 10 daemons with 200 requests a second, seeds 0 to 0, calm
    When orders move the service to a good version
    Then the decider has counted all answers of the target version

  Scenario Outline: an order ends although a part fails
    # Guards against a verdict that is lost with its decider, or that never ends.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 1, calm
    And <failure>
    When orders move the service to a version that is bad: 100% fail
    Then all orders end as "rolled_back" within 16 s
    And the bad version got at most its exposure

    Examples:
      | failure                                           |
      | the decider is killed between verdict and write   |
      | the decider is killed between write and reply     |
      | a third of the daemons is cut off from 3 s to 8 s |
      | the store is away from 3 s to 12 s                |
      | the replies to writes are lost                    |
      | a daemon that collects starts again at 4 s        |

  Scenario Outline: a good version is completed in time although a part fails
    # Guards against a time budget that begins anew with each process, and against daemons
    # that wait for one that does not decide.
    Given fleets of <daemons> daemons with 20 requests a second, seeds 0 to 2, calm
    And <failure>
    When orders move the service to a good version
    Then all orders end as "completed" within 12 s

    Examples:
      | daemons | failure                                    |
      | 10      | a daemon that collects starts again at 4 s |
      | 88      | a daemon that collects starts again at 4 s |
      | 88      | a daemon that collects starts again at 7 s |
      | 88      | the decider does not learn of the order    |

  Scenario Outline: the status says that an order runs, once and before it ends
    # Guards against a state "running" that is missing, written twice or written over
    # the end, and against an end that waits for a call that is slow or fails.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 1, calm
    And <failure>
    When orders move the service to <version>
    Then all orders end as "<end>" within <limit> s
    And the status had the states <states> one after the other

    Examples:
      | failure                                                       | version                          | end         | limit | states               |
      | the store is up                                               | a good version                   | completed   | 11    | running, completed   |
      | the store is up                                               | a version that is bad: 100% fail | rolled_back | 6     | running, rolled_back |
      | the replies to writes are lost                                | a good version                   | completed   | 11    | running, completed   |
      | the decider is killed between write and reply                 | a version that is bad: 100% fail | rolled_back | 16    | running, rolled_back |
      | a third of the daemons is cut off from 3 s to 8 s             | a good version                   | completed   | 12    | running, completed   |
      | a daemon that collects starts again at 4 s                    | a version that is bad: 100% fail | rolled_back | 16    | running, rolled_back |
      | writes of "running" take effect after 2000 ms                 | a version that is bad: 100% fail | rolled_back | 6     | running, rolled_back |
      | writes of "running" take effect after 20000 ms                | a good version                   | completed   | 11    | completed            |
      | the store is away from 0 s to 2 s                             | a good version                   | completed   | 11    | running, completed   |
      | the store is away from 0 s to 4 s                             | a good version                   | completed   | 11    | completed            |

  Scenario: an end is written at once although "running" has just changed the revision
    # Guards against an end that waits for the interval after a failed write.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 1, calm
    And a write of "running" takes effect just before that of the end
    When orders move the service to a good version
    Then all orders end as "completed" within 11 s
    And the status had the states running, completed one after the other
    And the end took effect within 200 ms of its first write

  Scenario Outline: an order ends while the store answers late, or not at all
    # Guards against a verdict that waits for the store, and against a state that is
    # written twice or never once the store answers again.
    Given fleets of 88 daemons with 20 requests a second, seeds 0 to 1, calm
    And <failure>
    When orders move the service to <version>
    Then all orders end as "<end>" within <limit> s
    And the status had the states running, <end> one after the other
    And all requests after the verdict went to "<kept>"

    Examples:
      | failure                                      | version                          | end         | limit | kept |
      | the store answers after 5 s from 3 s to 16 s | a version that is bad: 100% fail | rolled_back | 11    | v1   |
      | the store answers after 5 s from 3 s to 16 s | a good version                   | completed   | 16    | v2   |
      | the store is away from 3 s to 14 s           | a version that is bad: 100% fail | rolled_back | 16    | v1   |
      | the store is away from 3 s to 14 s           | a good version                   | completed   | 16    | v2   |

  Scenario Outline: a daemon that starts during an order takes messages of others
    # Guards against reports and phases that are dropped because the status "running"
    # has changed the revision of the order, and against those of an earlier order.
    Given a daemon that first sees an order as <state>, at revision 101
    When a message says <phase> of the order at revision <revision>
    Then the message is <result>

    Examples:
      | state   | phase       | revision | result  |
      | running | switching   | 100      | taken   |
      | running | rolled_back | 100      | ignored |
      | running | rolled_back | 101      | taken   |
      | open    | switching   | 100      | ignored |
      | open    | switching   | 102      | taken   |

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
