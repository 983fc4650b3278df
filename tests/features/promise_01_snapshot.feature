Feature: every answer comes from one snapshot

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: the index is repartitioned under queries while a holder is killed
    Guards against an answer merged from two versions when the pinned one vanishes.
    Given promise shard 5 takes 250 ms, so that its requests queue
    And promise queries run all the time
    When promise daemon 3 is killed
    And the promise index is repartitioned
    And the promise index is repartitioned
    And promise daemon 3 is started again
    Then promise answers come from the new version
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises

  Scenario: a server answers from another version than it was asked for
    Guards against rows merged by what was asked instead of what was answered.
    When promise server bins-02-a answers from version 77
    Then 20 promise answers hold rows of their own version only
    And nothing counts against the promises
