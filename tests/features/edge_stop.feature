Feature: planned stops of a daemon under load

  Scenario Outline: each request that reaches a daemon before it stops is answered
    # Guards against requests that are cut off since the daemon takes a connection on
    # which nothing has been sent yet for an idle one.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    And callers that connect in a loop and send their request after <pause_ms> ms
    When the daemon "e1" is told to stop
    Then it stops within 5300 ms
    And at least 100 callers were answered while it was stopping
    And no caller that had connected was left without an answer

    Examples:
      | pause_ms |
      | 0        |
      | 30       |

  Scenario: connections that wait to be accepted are answered
    # Guards against connections in the kernel's queue, which a close of the port resets.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    When 20 callers connect and send a request while the daemon is busy closing its port
    Then all of them get an answer

  Scenario: a caller that comes as the port is closed is refused
    # Guards against a connection that the kernel completes after the last accept, and
    # that the close of the port resets with its request.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    When a caller connects between the last accept of its port and the close
    Then its connection is never established, and is refused within 5000 ms

  Scenario: a caller whose connection is opened as the port closes is answered
    # Guards against the option that drops opening packets: an accepted connection
    # inherits it and would receive nothing.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    When a caller connects before the close of its port, and sends a request later
    Then all of them get an answer

  Scenario: the port is closed on a system without the option to drop opening packets
    # Guards against a stop that fails there, or loses callers that wait.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    And a system that cannot drop opening packets
    When 20 callers connect and send a request while the daemon is busy closing its port
    Then all of them get an answer
    And the port refuses connections

  Scenario Outline: a request of which a part has arrived is answered
    # Guards against a connection that is closed with the answer to the request before.
    Given a platform whose daemon "e1" may stop, with servers that take <work_ms> ms
    When a caller sends <part>, the daemon "e1" is told to stop, and the rest follows
    Then the caller gets <count> answers with status 200

    Examples:
      | part                             | work_ms | count |
      | half of a head                   | 40      | 1     |
      | half of a body                   | 40      | 1     |
      | a request and half of the next   | 40      | 2     |
      | a request and half of the next   | 250     | 2     |
      | two requests and half of a third | 250     | 3     |

  Scenario Outline: a request that meets the close of its kept connection is answered
    # Guards against a close while the request waits in the kernel, which resets the
    # connection.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    And a caller whose kept connection has carried a request
    When its next request arrives just before <event>
    Then the caller gets 1 answers with status 200

    Examples:
      | event                                 |
      | the daemon closes idle connections    |
      | the idle time of its connection is up |

  Scenario: a stopping daemon refuses orders that it cannot finish
    # Guards against orders that are taken late in a stop and cut off at its end.
    Given a platform whose daemon "e1" may stop, with servers that take 2000 ms
    And an order has been answered
    When the daemon "e1" is told to stop while an order is sent every 200 ms
    Then it stops within 6000 ms
    And each order that a server got was answered with status 200
    And at least 3 orders were refused, each within 300 ms
    And no order that was refused has run

  Scenario: requests in progress at the end of a stop are answered
    # Guards against requests that are cut off when the time for the stop is over.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When an order and a lookup are sent, and the daemon "e1" is told to stop
    Then it stops within 6000 ms
    And both get status 502 at least 5000 ms after the start of the stop

  Scenario: the time of a stop counts from its signal
    # Guards against a busy daemon that is killed before it has answered.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When an order and a lookup are sent, and "e1" is told to stop while busy for 900 ms
    Then it stops within 6000 ms
    And both get status 502 at least 5000 ms after the start of the stop

  Scenario: the time of a stop counts from a signal that is seen late
    # Guards against a process without processor time that is killed before it answers.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When an order and a lookup are sent, and "e1" sees its signal 900 ms late
    Then it stops within 6000 ms
    And both get status 502 at least 4000 ms after the start of the stop

  Scenario: the last answers of a stop are sent although the daemon was busy
    # Guards against answers that are written in the moment in which the process ends.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When an order and a lookup are sent, and the stop of "e1" is held up from 5200 to 5750 ms
    Then it stops within 6000 ms
    And both get status 502 at least 5000 ms after the start of the stop

  Scenario: answers of servers that wait to be read when the final answers are due
    # Guards against a busy daemon that gives up on requests whose answers have arrived.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When an order and a lookup are sent, and "e1" is busy while the servers answer, from 4500 to 5500 ms of its stop
    Then it stops within 6000 ms
    And both get status 200 at least 5000 ms after the start of the stop

  Scenario: a stop that is held up until its end answers what is in progress
    # Guards against final answers that the end of the process discards.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When an order and a lookup are sent, and the stop of "e1" is held up from 5000 to 5800 ms
    Then it stops within 6000 ms
    And both get status 502 at least 5000 ms after the start of the stop

  Scenario: callers that connect while a stop is held up until its end are refused
    # Guards against connections that are accepted and cut in the same turn.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    And a caller whose kept connection has carried a request
    When 20 callers connect and send a request while the stop is held up from 200 to 5800 ms
    Then each of them gets status 503

  Scenario: the end of a stop says what became of the open connections
    # Guards against requests that a stop cuts without a trace in the log.
    Given a platform whose daemon "e1" may stop, with servers that take 40 ms
    When a caller does not read its answers, and the daemon "e1" is told to stop
    Then it stops within 6000 ms
    And its last log line counts 1 connections in the state "closing"
