Feature: a holder sends work within its shares

  Scenario: each server gets one call with all its parts; one message has all answers
    Given a holder of servers s and t, each warm with 4 slots
    When the holder gets a batch with parts 0 and 1 of s and part 2 of t
    Then held server s is asked once for parts 0 and 1
    And held server t is asked once for part 2
    When all held servers answer in the same reactor iteration
    Then the holder replies with 1 message of 2 answers

  Scenario: a cold server gets only cold-start slots until enough consecutive successes
    Given a holder of cold server s with 4 slots and 1 for cold starts
    When 6 sub-queries for s reach the holder
    Then the holder has 1 request at s
    When s answers 2 times
    Then the holder has 1 request at s
    When s answers 1 time
    Then the holder has 2 requests at s
    When 6 sub-queries for s reach the holder
    And s answers 3 times
    Then the holder has 4 requests at s

  Scenario Outline: a fault or restart returns the server to cold at once
    Given a holder of servers s and t, each warm with 4 slots
    When 8 sub-queries for s reach the holder
    And <event>
    And s answers 3 times
    Then the holder has <requests> request at s
    And the holder has announced s as cold

    Examples:
      | event                                 | requests |
      | s answers as a new incarnation        | 1        |
      | s sheds a request                     | 1        |
      | s breaks a connection                 | 1        |
      | the status of s has a new incarnation | 1        |

  Scenario: a single slow reply leaves the server warm, a latency step does not
    Given a holder of servers s and t, each warm with 4 slots
    When s answers 10 sub-queries after 10 ms
    And s answers 1 sub-query after 200 ms
    And s answers 1 sub-query after 10 ms
    Then the gate of s is warm
    When 4 sub-queries for s are all answered after a pause of 200 ms
    Then the gate of s is warm
    When s answers 2 sub-queries after 200 ms
    Then the gate of s is cold

  Scenario: an idle server gets its full share only after a new reply
    Given a holder of servers s and t, each warm with 4 slots
    When the holder's clock advances by 6000 ms
    And 3 sub-queries for s reach the holder
    Then the holder has 1 request at s
    When s answers 1 time
    Then the holder has 2 requests at s
    And the gate of s is warm

  Scenario: a lost idle connection requires a new reply as well
    Given a holder of servers s and t, each warm with 4 slots
    When s closes an idle connection
    And 3 sub-queries for s reach the holder
    Then the holder has 1 request at s

  Scenario: a holder without a cold-start slot follows the one that has it
    Given a holder of cold server s with 2 slots and 0 for cold starts
    When 1 sub-query for s reaches the holder
    Then the holder answers refused 1 time
    When the other holder of s reports warm with sequence 1
    And 2 sub-queries for s reach the holder
    Then the holder has 1 request at s
    When the other holder of s reports cold with sequence 2
    And s answers 1 time
    Then the holder has 0 requests at s
    When the other holder of s reports warm with sequence 1
    And 1 sub-query for s reaches the holder
    Then the holder has 0 requests at s

  Scenario: a failure domain that is out gets no work and returns cold
    Given a holder of servers s and t, each warm with 4 slots
    When 6 sub-queries for s reach the holder
    And the failure domain of s goes out
    Then the holder answers refused 2 times
    When s answers 4 times
    And 3 sub-queries for s reach the holder
    Then the holder has 0 requests at s
    And the holder answers refused 5 times
    When the failure domain of s returns
    And 3 sub-queries for s reach the holder
    Then the holder has 1 request at s

  Scenario: requests that wait for a connection are not sent to a domain that is out
    Given a holder of servers s and t, each warm with 4 slots
    And connections to s take time
    When 2 sub-queries for s reach the holder
    And the failure domain of s goes out
    And the connections to s are made
    Then the holder has 0 requests at s
    And the holder answers refused 2 times

  Scenario: a lagging status does not end a drain that a refusal has reported
    Given a holder of servers s and t, each warm with 4 slots
    When 1 sub-query for s reaches the holder
    And s refuses it as draining
    And the status of s is live for 5000 ms
    And 1 sub-query for s reaches the holder
    Then the holder has 0 requests at s
    When the status of s is draining for 2000 ms
    And the status of s is live for 2000 ms
    And 1 sub-query for s reaches the holder
    Then the holder has 1 request at s
    And the gate of s is cold

  Scenario: work that arrived during a pause waits for a new status
    Guards against work for a server that began to drain while the process was
    paused.
    Given a holder of servers s and t, each warm with 4 slots
    And the process of the holder was paused
    When the holder gets a batch with parts 0 and 1 of s and part 2 of t
    Then the holder has 0 requests at s
    And the holder has 0 requests at t
    When the status of s is live for 1000 ms
    And 1 sub-query for s reaches the holder
    Then the holder has 1 request at s

  Scenario: work that cannot start before its deadline is refused early
    Given a holder of servers s and t, each warm with 4 slots
    When s answers 40 sub-queries after 100 ms
    And 20 sub-queries for s with 150 ms left reach the holder
    Then the holder has 4 requests at s
    And the holder answers refused 9 times

  Scenario: queued work is started round-robin by service
    Given a holder of cold server s with 1 slots and 1 for cold starts
    When 4 sub-queries of shop for s reach the holder
    And 2 sub-queries of depot for s reach the holder
    And s answers 5 times
    Then the requests at s came from shop, shop, depot, shop, depot, shop

  Scenario: a query on a stalled connection is retried once
    Given a holder of servers s and t, each warm with 4 slots
    When 1 sub-query for s reaches the holder
    And the connection to s stalls
    Then the holder has 1 request at s
    When the connection to s stalls
    Then the holder answers failed 1 time

  Scenario: parts refused as gone stay unlisted despite a lagging status
    Given a holder of servers s and t, each warm with 4 slots
    When the status of s lists parts 0 and 1
    And s refuses part 0 as gone
    And the status of s lists parts 0 and 1
    Then the last catalog update of s lists part 1

  Scenario: a server without indexes is announced by the holder that takes it over
    Guards against an order server that stays unavailable to the entries because
    its former holder announced the end of its share.
    Given a holder of cold server s with 1 slots and 1 for cold starts
    When the status of the new holder's server s arrives
    Then the last catalog update of s says that it is available
    When the holder loses its share of s
    Then the last catalog update of s says that it is not available
    When the holder of s gets its share back
    And the status of the new holder's server s arrives
    Then the last catalog update of s says that it is available

  Scenario: a server with a new address is connected again and starts cold
    Given a holder of servers s and t, each warm with 4 slots
    When s moves to another address
    And 3 sub-queries for s reach the holder
    Then the holder has 1 request at s

  Scenario: the slots used by a lost peer's work become free
    Given a holder of servers s and t, each warm with 4 slots
    When 6 sub-queries for s reach the holder
    And the peer that sent the work is lost
    Then the holder has 0 requests at s
    And the holder is idle

  Scenario Outline: an order's status says whether it may have run
    Given a holder of servers s and t, each warm with 4 slots
    When order o1 for s reaches the holder
    And the upstream ends it with <end>
    Then the holder answers the order <status>

    Examples:
      | end          | status  |
      | success      | done    |
      | shed         | not_run |
      | draining     | not_run |
      | version_gone | unknown |
      | timeout      | unknown |
      | stalled      | unknown |
      | broken       | unknown |
      | failed       | unknown |

  Scenario Outline: an order answered not_sent is never sent later
    Given a holder of servers s and t, each warm with 4 slots
    And <obstacle>
    When order o1 for s reaches the holder
    Then the holder answers the order not_sent
    When the obstacle is removed and order o1 for s reaches the holder again
    Then the holder answers the order not_sent
    And the holder has 0 requests at s

    Examples:
      | obstacle                                |
      | the failure domain of s goes out        |
      | the process of the holder was paused    |
      | connections to s are refused            |

  Scenario: a repeated order message does not send twice
    Given a holder of servers s and t, each warm with 4 slots
    When order o1 for s reaches the holder
    And order o1 for s reaches the holder
    Then the holder has 1 request at s
    When the upstream ends it with success
    And order o1 for s reaches the holder
    Then s has seen 1 order
    And the holder answers the order done

  Scenario: an order message repeated after the answer has expired
    Given a holder of servers s and t, each warm with 4 slots
    When order o1 for s reaches the holder
    And the upstream ends it with success
    And the holder's clock advances by 61000 ms
    And order o1 for s reaches the holder
    Then s has seen 1 order
    And the last order answer of the holder is unknown
