Feature: requests on the platform's protocol, through real daemons

  Background:
    Given a platform with 3 shards and the daemon "e1" in "a1"

  Scenario: a query returns the greatest records of all shards
    When a caller sends a query to "e1"
    Then it gets 200 with 3 proofs and 0 parts missing
    And the body holds the 5 greatest records of the 3 shards

  Scenario: the response of a single server is returned unchanged
    When a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server

  Scenario: a query without the answer of a shard reports a missing part
    Given both servers of shard 0 are "hang"
    When a caller sends a query to "e1"
    Then it gets 200 with 2 proofs and 1 parts missing
    And the body holds the 5 greatest records of the other 2 shards

  Scenario: a query with too few parts gets an error
    Given both servers of shard 0 are "hang"
    And both servers of shard 1 are "hang"
    When a caller sends a query to "e1"
    Then it gets 504 without a proof

  Scenario Outline: a damaged answer reaches no caller
    # Guards against bytes of a broken, foreign or repeated answer in a successful one.
    # A copy is a late second one of the answer to the connection's earlier request.
    Given the server "item-a1" is "<behaviour>"
    When a caller sends 4 item requests to "e1"
    Then each gets 200 with a proof for its own attempt

    Examples:
      | behaviour |
      | truncate  |
      | garbage   |
      | foreign   |
      | extra     |
      | copy_with_id |
      | copy_without_id |
      | cut_head     |
      | endless_head |
      | endless_body |
      | reset     |
      | fail      |
      | shed      |

  Scenario Outline: a late copy of an earlier answer is no answer to an order
    Given every server of items is "<behaviour>"
    When a caller sends 3 item requests to "e1"
    And a caller sends an order to "e1"
    Then no answer to it belongs to another request

    Examples:
      | behaviour       |
      | copy_with_id    |
      | copy_without_id |

  Scenario: a late copy of a refusal is no answer to the order's next send
    # Guards against a promise that an order has not run, though it has: both sends have
    # the same id, so only the connection tells the copy from an answer.
    Given every server of items is "refuse_then_copy"
    When a caller sends an order to "e1"
    Then it gets 200 with a proof for its own attempt
    And exactly 1 order has run

  Scenario: a late copy of a refusal without an id is no answer to another order
    # Guards against a promise that an order has not run, or a second run of it, where
    # the server's refusals never have an id that would tell the copy from an answer.
    Given every server of items is "refuse_unnamed_then_copy"
    When a caller sends 4 orders to "e1"
    Then each gets 200 with a proof for its own attempt
    And exactly 4 orders have run

  Scenario: orders do not wait for each other while connections can be replaced
    # Guards against orders that wait beside idle connections that they may not use.
    Given the server "item-a1" is "refuse_unnamed_then_copy"
    And a pool of 2 connections to the server "item-a1"
    When 2 orders on the pool are refused, and are sent again at once
    Then both are answered by the server at the same time

  Scenario: a pool at its limit replaces a connection that a request avoids
    Given a pool of 1 connection to the server "item-a1"
    When a request is sent on the pool, and another one that avoids its connection
    Then both are answered, the second on a new connection
    And the pool never had more than 1 connection open

  Scenario Outline: an order is never sent twice
    # Guards against repeating a request that may have run, and against passing on a
    # status that promises the contrary from a server that has run it.
    Given every server of items is "<behaviour>"
    When a caller sends an order to "e1"
    Then it gets <status> without a not-run promise
    And exactly 1 order has run

    Examples:
      | behaviour | status |
      | reset     | 502    |
      | truncate  | 502    |
      | garbage   | 502    |
      | cut_head  | 502    |
      | endless_head | 502 |
      | endless_body | 502 |
      | fail_with_408 | 502 |
      | fail_with_429 | 502 |
      | fail_with_503 | 502 |
      | hang      | 504    |

  Scenario: a part whose servers both lose its first answer is asked for again
    # Guards against parts that are given up after two lost answers, though both servers
    # of the shard run and the request may be repeated.
    Given both servers of shard 0 are "reset_once"
    When a caller sends a query to "e1"
    Then it gets 200 with 3 proofs and 0 parts missing
    And no server of shard 0 has got it more than 2 times

  Scenario: an order is not sent again to a server that has lost its answer
    Given every server of items is "reset_once"
    When a caller sends an order to "e1"
    Then it gets 502 without a not-run promise
    And exactly 1 order has run

  Scenario: the reply to a refused order promises that it has not run
    Given every server of items is "shed"
    When a caller sends an order to "e1"
    Then it gets 503 with a retry time
    And exactly 0 orders have run

  Scenario: an order that one server refuses runs at another
    Given the server "item-a1" is "shed"
    When a caller sends an order to "e1"
    Then it gets 200 with the proof and the body of one server
    And exactly 1 order has run

  Scenario: an unanswered request ends at the timeout of its route
    Given every server of items is "hang"
    And the configuration gives requests 300 ms
    When a caller sends an item request to "e1"
    Then it gets 504 within 600 ms

  Scenario: servers get a deadline within the remaining time
    When a caller that waits 700 ms sends an item request to "e1"
    Then no server got a deadline of more than 700 ms

  Scenario: a caller that disconnects cancels its request
    Given every server of items is "hang"
    When a caller sends an item request to "e1" and disconnects
    Then the servers see their requests cancelled

  Scenario: a connection in use is closed with its request if its server has left
    # Guards against connections that stay open to servers which nobody may use.
    Given every server of items takes 300 ms
    When a caller sends an item request to "e1", whose servers leave meanwhile
    Then it gets 200 with the proof and the body of one server
    And "e1" keeps no connection to the servers of items

  Scenario: a server that refuses connections is tried once for a request
    # Guards against a daemon that spends its time on servers that have crashed.
    Given nothing listens at the address of "item-a1"
    And the server "item-b1" is "shed"
    And connections to "item-a1" are counted
    When a caller sends an item request to "e1"
    Then it gets 503 with a retry time
    And at most 1 connection to "item-a1" was tried

  Scenario: no answer of another server is returned from a reused address
    # Guards against requests to a server that now uses the address of another.
    Given the entry of "item-a1" holds the address of "s0-a1"
    When a caller sends 3 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    And "s0-a1" has run nothing

  Scenario Outline: a request beyond the limits is refused
    When a caller sends <what> to "e1"
    Then it gets <status> without a proof

    Examples:
      | what                 | status |
      | a body of 200000 B   | 413    |
      | a header of 30000 B  | 431    |
      | a path without route | 404    |
