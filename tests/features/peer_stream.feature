Feature: streams between daemons

  Scenario: two daemons that dial each other keep one stream and exchange messages
    Guards against two streams that replace each other again and again.
    Given peer networks "vm-a" and "vm-b" that know each other's address and seed
    When the peer streams are up
    Then a message from "vm-a" arrives at "vm-b" and the other way round
    And one peer stream is open on each side after 600 ms

  Scenario Outline: a bad peer is cut without touching others
    Guards against a broken peer that stops a daemon or its other streams.
    Given peer networks "vm-a" and "vm-b" that know each other's address and seed
    When the peer streams are up
    And a raw connection sends <bytes> to "vm-a"
    Then the raw connection is closed within 2000 ms
    And a message from "vm-a" arrives at "vm-b" and the other way round

    Examples:
      | bytes                |
      | ffffffff00           |
      | 00000001c1           |
      | 00000007 92a470696e6701 |
      | nothing              |

  Scenario: a stream that goes silent is reported lost and replaced
    Guards against requests that wait for ever on a connection that something
    between the two ends has dropped.
    Given peer networks "vm-a" and "vm-b" that know each other's address and seed
    When the peer streams are up
    And the open peer stream goes silent in both directions
    Then "vm-a" reports the loss of "vm-b" within 1500 ms
    And a message from "vm-a" arrives at "vm-b" and the other way round

  Scenario: a pause of the own process ends no stream
    Guards against timers that judge silence before what has arrived is read.
    Given peer networks "vm-a" and "vm-b" that know each other's address and seed
    When the peer streams are up
    And 300 ms go by
    And the process does not run for 900 ms
    And 300 ms go by
    Then no peer stream has been lost

  Scenario: a one-sided choice of peers makes a stream from the higher name
    Given one-sided peer networks "vm-a" and "vm-b" of which only "vm-b" knows the other
    Then a message from "vm-a" arrives at "vm-b" and the other way round

  Scenario: two one-sided choices of each other end with one stream
    Given one-sided peer networks "vm-a" and "vm-b" that know each other
    Then a message from "vm-a" arrives at "vm-b" and the other way round
    And the one-sided peer networks keep the same stream for 1 s
