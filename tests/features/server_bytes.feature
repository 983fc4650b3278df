Feature: answers that are cut off or never end
  A server in trouble may stop in the middle of its answer, or send bytes without end.
  Neither may look like an answer, or take the memory or the processor of a daemon.

  Scenario Outline: bytes without end are cut at a limit
    # Guards against a daemon that runs out of memory or time on the bytes of a server.
    Given an answer that has <bytes> without end
    When its bytes are parsed as they arrive
    Then they are malformed after at most <limit> bytes

    Examples:
      | bytes                     | limit   |
      | a status line             | 100000  |
      | a header line             | 100000  |
      | header lines              | 100000  |
      | interim answers           | 100000  |
      | a chunk extension         | 100000  |
      | trailer lines             | 100000  |
      | tiny chunks with comments | 100000  |
      | a body without a length   | 1200000 |
      | a chunked body            | 1500000 |
      | a body with a length      | 1200000 |

  Scenario: an answer that switches protocols is malformed
    # Guards against an exception that leaves the request without a result.
    Then an answer with status 101 is malformed

  Scenario Outline: an answer with a status that HTTP does not have is malformed
    # Guards against callers that get status 000 of a server in trouble as an answer,
    # and against requests that wait for another answer behind it until their timeout.
    Given a platform with 3 shards and the daemon "e1" in "a1"
    And every server of items is "<behaviour>"
    When a caller sends an order to "e1"
    Then it gets 502 without a not-run promise
    And exactly 1 order has run
    And the answer has come within 500 ms

    Examples:
      | behaviour       |
      | answer_with_000 |
      | answer_with_099 |
      | answer_with_600 |
      | answer_with_999 |

  Scenario Outline: the body of an interim answer is in no other answer
    # Guards against callers that get bytes of an interim answer before the body.
    Then an answer with status <status> and a body, before one with 200, is malformed

    Examples:
      | status |
      | 000    |
      | 103    |
      | 199    |

  Scenario: no beginning of an answer is a success, wherever it is cut
    # Guards against an answer that stopped in its head and was taken for an empty one.
    Then no beginning of a framed answer is complete, cut at any byte
    And an answer without a length is complete only if its head is whole

  Scenario Outline: a daemon closes the connection of a server that never ends
    # Guards against requests that wait for such a server until their time is over.
    Given a platform with 3 shards and the daemon "e1" in "a1"
    And the server "item-a1" sends <bytes> without end
    When a caller sends an item request to "e1"
    Then each gets 200 with a proof for its own attempt
    And the daemon has closed its connections to that server

    Examples:
      | bytes                   |
      | a header line           |
      | header lines            |
      | a body without a length |
      | a chunked body          |

  Scenario: an order whose answer never ends may have run
    # Guards against a caller that repeats an order since it got a false promise.
    Given a platform with 3 shards and the daemon "e1" in "a1"
    And the server "item-a1" sends header lines without end
    And the server "item-b1" sends header lines without end
    When a caller sends an order to "e1"
    Then it gets 502 without a not-run promise
    And 1 server has received it

  Scenario: a daemon keeps its memory beside 50 servers that never end
    # Guards against a daemon whose memory grows with the number of such servers.
    Given 50 connections to servers that send a chunked body without end
    When all of them have been cut
    Then the process holds at most 120 MB more than before

  Scenario Outline: the upstream client ends a call whose reply never ends
    # Guards against memory of the daemon that a reply without end takes.
    Given an upstream that sends <bytes> without end
    When the upstream client queries part 0
    Then the upstream error is broken, sent
    And the upstream has sent at most 8 MB

    Examples:
      | bytes                   |
      | a header line           |
      | header lines            |
      | interim answers         |
      | a body without a length |
      | a chunked body          |

  Scenario: a reply to the upstream client is never complete before its end
    Given replies of an upstream that are cut at each byte of their head
    Then the upstream client reports each of them as broken, sent

  Scenario: a cut reply to the command line is no reply
    # Guards against an order that is reported as done, since its status line was read.
    Given replies to the command line that are cut at each byte
    Then the command line takes none of them for a reply
    And it takes the whole reply
