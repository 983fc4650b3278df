Feature: every caller gets the whole answer to its own request

  Background:
    Given a promise cluster of 4 daemons with 5 ms of work

  Scenario: answers arrive late, crossed and over connections that go silent
    Guards against a late answer of one request that is given to another one.
    Given all promise servers are stragglers now and then
    And 8 promise callers who know their own answers
    When 2 s of promise load pass
    And the open connections of promise server bins-01-a go silent
    And promise daemon 2 freezes
    And 3 s of promise load pass
    And promise daemon 2 thaws
    And 1 s of promise load pass
    Then every promise caller got the answer to its own request
    And upstreams have seen promise requests cancelled
    And nothing counts against the promises
