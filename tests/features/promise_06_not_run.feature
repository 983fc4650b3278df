Feature: a refusal that says "not run" is true

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: the entry loses all holders while they run its orders
    Guards against "not run" for an order that a dead holder has sent.
    Given promise daemon 1 finds no order server in its own region
    And promise orders take 2500 ms and 0% of their replies get lost
    When 1 promise order(s) through daemon 1 run
    And all promise daemons but 1 are killed
    Then the running promise orders are told as unknown, for they ran
    And nothing counts against the promises

  Scenario: the store goes down and loses replies while upstreams lose them, too
    Guards against "not run" for a claim or a send whose reply was lost.
    Given promise orders take 20 ms and 20% of their replies get lost
    And 4 promise callers repeat their orders through other daemons
    When the store of the promises loses replies
    And 2 s of promise load pass
    And the store of the promises is down
    And 1 s of promise load pass
    And all promise faults of the store end
    And 1 s of promise load pass
    Then promise orders were refused as not run, each time truly
    And some promise orders were done
    And nothing counts against the promises
