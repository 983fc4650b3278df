Feature: a non-idempotent request runs at most once

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: daemons are killed and frozen while replies get lost
    Guards against an order that a repeated key runs again through another daemon.
    Given promise orders take 20 ms and 20% of their replies get lost
    And 4 promise callers repeat their orders through other daemons
    When the store of the promises loses replies
    And promise daemon 1 is killed
    And promise daemon 2 freezes
    And 3 s of promise load pass
    And promise daemon 2 thaws
    And promise daemon 1 is started again
    Then some promise orders were done
    And nothing counts against the promises

  Scenario: orders of a killed daemon are repeated through another one
    Guards against a claim that is given up because its claimant is gone.
    Given promise orders take 2500 ms and 0% of their replies get lost
    When 1 promise order(s) through daemon 2 run
    And promise daemon 2 is killed
    And promise daemon 2 is started again
    Then repeated through promise daemon 1 they run no second time
    And nothing counts against the promises
