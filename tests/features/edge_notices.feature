Feature: what servers say of themselves in their answers

  Background:
    Given a platform with 3 shards and the daemon "e1" in "a1"
    And the server "item-a1" has answered a request

  Scenario Outline: a server that says that it leaves is left alone
    # Guards against requests that reach a server long after its answers said that it
    # leaves, though the store still calls it ready.
    Given the server "item-a1" says that it leaves in an answer that is "<behaviour>"
    When <event>
    And a caller sends 6 item requests to "e1"
    Then each gets 200 with a proof for its own attempt
    And "item-a1" has got none of them

    Examples:
      | behaviour | event                                     |
      | serve     | nothing else happens                      |
      | fail      | nothing else happens                      |
      | truncate  | nothing else happens                      |
      | serve     | "item-a1" is written as ready once more   |
      | serve     | the entry of "item-a1" lapses and returns |
      | serve     | the store is compacted                    |

  Scenario: the only server is used for its drain time, then requests are refused
    # Guards against requests that wait for a server that has left, until their deadline.
    Given the server "item-b1" has gone
    And the server "item-a1" says that it leaves in an answer that is "serve"
    When a caller sends an item request to "e1"
    Then it gets 200 with the proof and the body of one server
    When 2000 ms have passed
    And a caller sends an item request to "e1"
    Then it is refused within 200 ms, and the reason names "item-a1"
    And the reason says "item-a1: leaving since" and a time of day
    And "item-a1" has got none since then

  Scenario: a server that starts again is used again
    Given the server "item-a1" says that it leaves in an answer that is "serve"
    When the server "item-a1" starts again and says so no more
    And a caller sends 6 item requests to "e1"
    Then "item-a1" has run something since then

  Scenario: a server that wants no requests gets none for its time
    # Guards against repeats, hedges and waiting requests that reach a server which has
    # asked for a pause.
    Given the server "item-a1" refuses requests and wants none for "1.0" s
    When callers send item requests to "e1" for 2500 ms
    Then "item-a1" has got at most 2 requests in 1000 ms after each refusal
    And all of them got 200
    And "item-a1" is used again

  Scenario Outline: a value that states no time holds nothing
    Given the server "item-a1" refuses requests and wants none for "<value>" s
    When a caller sends 4 item requests to "e1"
    Then no server is on hold, and the value is counted

    Examples:
      | value |
      | 0     |
      | -3    |
      | nan   |
      | inf   |
      | soon  |

  Scenario: requests are refused at once while all servers want none
    Given the server "item-a1" refuses requests and wants none for "3" s
    And the server "item-b1" refuses requests and wants none for "2" s
    When a caller sends an item request to "e1"
    And a caller sends an order to "e1"
    Then it is refused within 200 ms, and the reason names "item-a1"
    And the reason says "item-a1: held by the server until" and a time of day
    And its Retry-After is from 1.5 to 2.9 s
    And no server has got it

  Scenario: a query is answered in part while a shard's servers want no requests
    Given both servers of shard 0 are "hold"
    When a caller sends a query to "e1"
    And a caller sends a query to "e1"
    Then it gets 200 with 2 proofs and 1 parts missing
    And it came within 200 ms

  Scenario: what a server says to another daemon concerns the process that said it
    # Guards against a server that has started again and is left alone by mistake.
    When another daemon reports that "item-a1" leaves, started at 999
    Then "e1" uses "item-a1" as before
    When another daemon reports that "item-a1" leaves, started at 1000
    Then "e1" knows that "item-a1" leaves

  Scenario: notices of processes follow the clock and need bounded memory
    Then notices of 10000 processes are kept for at most 4096
    And for any values of Retry-After a hold ends in time, and no later one shortens it
