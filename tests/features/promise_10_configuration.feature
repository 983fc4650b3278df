Feature: an accepted change is in force everywhere within seconds and never reverts

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work
    And the promise versions in force are watched

  Scenario: two operators change one document at once
    Guards against a change that is reported as accepted and then overwritten.
    When two operators change the promise document at once
    Then one promise operator succeeds and the other is told that nothing was changed
    And within 2 s the promise change is in force on daemons 0, 1, 2, 3
    And no promise version has gone back
    And nothing counts against the promises

  Scenario: all watches are silent, one daemon is cut from the store and one frozen
    Guards against a daemon that wakes up and spreads the version it had before.
    When promise daemon 0 is cut from a store that has silent watches
    And promise daemon 3 freezes
    And an operator changes the promise document
    Then within 12 s the promise change is in force on daemons 0, 1, 2
    When 2 s of promise load pass
    And promise daemon 3 thaws
    Then the promise change gets in force on daemon 3
    And no promise version has gone back
    And nothing counts against the promises

  Scenario: a daemon is killed at a change and starts while the store is down
    Guards against a fresh daemon that gets ready with an old version.
    When promise daemon 2 is killed
    And an operator changes the promise document
    And the store of the promises is down
    And promise daemon 2 is started again
    Then the promise change gets in force on daemon 2
    And no promise version has gone back
    And nothing counts against the promises
