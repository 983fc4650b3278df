Feature: a leaving upstream gets no new work after 3 s

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: a server drains while the store is down
    Guards against a drain that is followed only with the store.
    Given promise queries run all the time
    When the store of the promises is down
    And promise server bins-01-a starts to drain
    Then 3 s after the start of the drain promise server bins-01-a gets no new work
    And promise server bins-01-a serves again after its drain
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises

  Scenario: a server drains while one of its holders is frozen
    Guards against a holder that wakes up with its old view of the server.
    Given promise queries run all the time
    When promise daemon 0 freezes
    And promise server bins-00-a starts to drain
    And 4 s of promise load pass
    And promise daemon 0 thaws
    Then 3 s after the start of the drain promise server bins-00-a gets no new work
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises
