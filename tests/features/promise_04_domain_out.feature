Feature: a failure domain taken out gets no new work after 3 s

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: operators race while one daemon is cut from the store and one is frozen
    Guards against a change that only daemons with a view of the store follow.
    Given promise queries run all the time
    When promise daemon 0 is cut from a store that has silent watches
    And promise daemon 3 freezes
    And two operators take promise domain qc-a out at once
    And 1 s of promise load pass
    And promise daemon 3 thaws
    Then one promise operator succeeds and the other is told that nothing was changed
    And 3 s after the change promise domain qc-a gets no new work
    When the promise domain qc-a is taken in again
    Then promise domain qc-a serves again
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises

  Scenario: a daemon reaches neither the store nor a peer
    Guards against a daemon that goes on with a fleet object it cannot renew.
    When promise daemon 0 reaches neither the store nor a peer for 3 s
    Then promise daemon 0 refuses new work and is not ready
    And nothing counts against the promises
