Feature: an upstream in a cold start gets no more than it can handle

  Background:
    Given a promise cluster of 4 daemons with 20 ms of work

  Scenario: half of the servers restart cold under load while a holder is killed
    Guards against the other holder, or a new one, that uses all slots of a cold server.
    Given promise queries run 30 times a second
    When promise daemon 1 is killed
    And promise servers bins-00-a, bins-01-a, bins-02-a, bins-03-a, bins-04-a, bins-05-a restart cold
    And promise daemon 1 is started again
    Then promise servers bins-00-a, bins-03-a get warm by work
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises

  Scenario: servers turn cold on open connections while the store is down
    Guards against a cold server that is noticed only when its connections break.
    Given promise queries run 30 times a second
    When the store of the promises is down
    And promise servers bins-01-b, bins-02-b turn cold without a sign
    Then promise servers bins-01-b, bins-02-b get warm by work
    And all promise answers agree with their snapshot and coverage
    And nothing counts against the promises
