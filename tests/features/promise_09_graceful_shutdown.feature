Feature: a graceful shutdown interrupts no request

  Background:
    Given a promise cluster of 4 daemons with 100 ms of work

  Scenario: a daemon is terminated while it runs orders and queries and the store is down
    Guards against callers' and relayed requests that end with their daemon.
    Given promise queries run 10 times a second
    And promise orders take 4000 ms and 0% of their replies get lost
    When 1 promise order(s) through daemon 1 run
    And the store of the promises is down
    And promise daemon 1 is terminated
    Then its promise process ended on its own
    And the running promise orders are told as done, for they ran
    When all promise faults of the store end
    And promise daemon 1 is started again
    Then no promise request was interrupted
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises
