Feature: requests that another daemon sends, as the own one may not connect

  Background:
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And the daemon "e3" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of items

  Scenario: a request is answered through a daemon near a server
    # Guards against requests that a daemon of a large fleet always refuses, as its share
    # of the connections of all servers is none.
    When a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server
    And the servers of items were reached by "e3" only

  Scenario: an order runs once, through a daemon near a server
    When a caller sends an order to "e1"
    Then it gets 200 with the proof and the body of one server
    And exactly 1 order has run

  Scenario Outline: the caller learns the outcome of an order at the other daemon
    # Guards against a promise that an order has not run, though it may have.
    Given every server of items is "<behaviour>"
    When a caller sends an order to "e1"
    Then it gets <status> without a proof
    And exactly <runs> orders have run

    Examples:
      | behaviour | status | runs |
      | shed      | 503    | 0    |
      | reset     | 502    | 1    |
      | truncate  | 502    | 1    |
      | cut_head  | 502    | 1    |
      | hang      | 504    | 1    |

  Scenario: both daemons know of a server that says that it leaves
    # Guards against requests of the daemon that has passed the answer on.
    Given every server of items says that it leaves
    When a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server
    And "e1" and "e3" know that the server of the proof leaves

  Scenario: a failure of the server is returned with its proof
    Given every server of items is "fail"
    When a caller sends an order to "e1"
    Then it gets 500 with the proof of a server

  Scenario: a request is sent by another daemon when the first is silent
    Given the daemon "e4" runs in "b1" connected to "e1"
    And "e3" ignores messages from "e1"
    When a caller sends 3 item requests to "e1"
    Then each gets 200 with a proof for its own attempt

  Scenario: an order whose daemon is silent is not sent by another one as well
    # Guards against an order that runs twice, as the silent daemon gets it late.
    Given the daemon "e4" runs in "b1" connected to "e1"
    And the reports of "e3" are lost
    And the reports of "e4" are lost
    When a caller sends an order to "e1"
    Then it gets 504 without a not-run promise
    And exactly 1 order has run

  Scenario: an order in progress at a daemon that is lost may have run
    Given every server of items is "hang"
    When a caller sends an order to "e1", and "e3" is lost after 200 ms
    Then it gets 502 without a not-run promise
    And exactly 1 order has run

  Scenario: a caller that disconnects cancels the request at the other daemon
    Given every server of items is "hang"
    When a caller sends an item request to "e1" and disconnects
    Then the servers see their requests cancelled

  Scenario: a daemon with another version of the route sends nothing
    # Guards against a request that is handled as only an older version allows.
    Given "e3" knows no route to items
    When a caller sends an order to "e1"
    Then it gets 503 with a retry time
    And exactly 0 orders have run

  Scenario: the log of the other daemon explains the outcome
    Given every server of items is "shed"
    And its logs are recorded
    When a caller sends an order to "e1"
    Then explaining the request prints "forwarded for a peer"
    And explaining the request prints "items was refused by item-"
