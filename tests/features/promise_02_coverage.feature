Feature: every answer states its coverage truthfully

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: both replicas of a shard are lost while the store is down
    Guards against a partial answer that passes as a whole one.
    When the store of the promises is down
    And both promise replicas of shard 2 are lost for 6000 ms
    Then promise daemon 0 reports part 2 missing and no other
    And promise daemon 1 refuses a coverage of 1.0 and says what it has
    When all promise faults of the store end
    Then promise queries are complete again
    And nothing counts against the promises

  Scenario: parts multiply under queries while a holder is frozen
    Guards against a repartitioned part that is counted twice or not at all.
    Given promise queries run all the time
    When promise daemon 3 freezes
    And the promise index is repartitioned
    And 1 s of promise load pass
    And promise daemon 3 thaws
    Then promise answers come from the new version
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises
