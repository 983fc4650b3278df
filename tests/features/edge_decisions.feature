Feature: decisions of the query tier against simple oracles

  Scenario: extra arrivals of all daemons stay within the bound of every window
    # Guards against bursts of all daemons that together exceed the slack.
    Then whatever the daemons send, no window holds more extra arrivals than allowed

  Scenario: a restarted process has no saved extra arrivals
    # Guards against a second burst within the window of the first one.
    Given the extra load of a restarted daemon
    Then it may send no extra arrival before its requests have earned one

  Scenario: daemons of a large fleet may hedge
    # Guards against a reserve that is larger than the share of one daemon of many.
    Then each of 86 daemons may hedge a request to a service at once

  Scenario: the slack is refilled over time
    # Guards against a daemon with few requests that can spend its share only once.
    Then a daemon that has spent its share has another token after 1 window

  Scenario: merged records equal those of a sort of all records
    Then any parts merge to their greatest records, also in two steps

  Scenario: a response is parsed the same however its bytes are split
    Then any split of a response gives the same response

  Scenario: a response that ends early is never complete
    # Guards against a truncated answer that is accepted as complete.
    Then no truncated framed response gives a response

  Scenario: one pause does not make a measured server count as slow
    Given a server that has answered in its usual time
    When three requests are delayed by one pause of the server
    Then the server does not count as slow
    When requests take ten times the usual time for a second
    Then the server counts as slow
    When 20 s pass without a request
    Then the server does not count as slow

  Scenario: one pause does not make an unmeasured server count as slow
    # Guards against daemons with few requests that take healthy servers for slow.
    Given a server that has not been measured
    When three requests are delayed by one pause of the server
    Then the server does not count as slow
    When requests take ten times the usual time for a second
    Then the server counts as slow

  Scenario: frequent changes of a kind are read in batches
    # Guards against a separate call to the store for each of many changes.
    Given a feed of a kind that changes every 10 ms
    When 3000 ms pass on the feed's clock
    Then the store got at most 25 calls
    And the feed has all changes except those of the last 200 ms

  Scenario: connections of all daemons stay within what a server accepts
    Then for any fleet the connections to a server do not exceed its limit

  Scenario: the hubs of all regions reach a server that accepts few connections
    # Guards against hedges that no daemon may send across regions.
    Given 12 daemons in each of 2 failure domains of 3 regions
    Then each daemon near a server that accepts 58 connections may open one
    And each hub of the other regions may open one

  Scenario: requests of all daemons to a cold server stay within its limit
    Then for any fleet the cold requests in a second do not exceed the bound

  Scenario: a cold server gets no more than this daemon's share in a second
    # Guards against a restarted server that fails under the full load.
    Given a cold server that can handle 10 requests a second, and 2 daemons
    When 50 requests a second are offered to it for 3 seconds
    Then at most 9 of them are sent in any second
    And all of them are sent once it is warm

  Scenario: a daemon that does not know the others takes a small share
    # Guards against many daemons that each use a whole limit while they cannot read
    # the list of daemons from the store.
    Then 9 daemons that know of no other stay within what a server accepts
    And the extra arrivals of 9 such daemons stay within the slack

  Scenario Outline: changes relayed by a peer are applied only in order
    Given a kind that is known up to revision 20
    When a peer reports changes from <since> to <revision>
    Then the kind is known up to revision <known>

    Examples:
      | since | revision | known |
      | 20    | 25       | 25    |
      | 15    | 25       | 25    |
      | 22    | 25       | 20    |
      | 10    | 18       | 20    |

  Scenario Outline: changes in parts without end are not kept
    # Guards against a peer that fills this daemon's memory with small compressed frames.
    Given a kind that is known up to revision 20
    When a peer reports changes from 20 to 25 in <parts> parts
    Then the kind is known up to revision <known>

    Examples:
      | parts | known |
      | 64    | 25    |
      | 65    | 20    |

  Scenario: a daemon that was paused does not take its peer for silent
    # Guards against two readers of the store after each pause of a daemon.
    Given a daemon that gets store changes from a peer
    When its process does not run for 1500 ms
    Then it does not read the store itself
    When the peer sends nothing for 1500 ms
    Then it reads the store itself

  Scenario: a stopping daemon takes only what it can answer
    # Guards against requests that are taken late in a stop and cut off at its end.
    Then in a stop of any length each request that is taken ends before the last answers
    And a port is closed and a process ends in time in a stop of any length

  Scenario: a stop that is held up answers in the time that is left
    # Guards against requests that are cut in a process with little processor time.
    Then a stop whose signal came late ends in the time that counts from the signal
    And checks that come late leave twice their delay for the answers
    And answers that are written late get time to be sent, once

  Scenario: the daemons of a fleet begin with different servers
    # Guards against a fleet of which all daemons send their first requests to the
    # server that the store lists first.
    Then of 200 daemons each of 6 equal servers is the first choice of 20 to 50

  Scenario: one list says why a server may get no request
    # Guards against checks at single callers, of which one is forgotten.
    Then a server that is <state> is excluded, as "<reason>"
      | state        | reason                        |
      | misdirected  | its address has another server |
      | gone         | leaving                       |
      | held         | held by the server            |
      | evacuated    | its failure domain is out     |
      | unreachable  | no share of its connections   |
      | cold         | it is cold                    |
    And a server in no such state may get a request
    And a server that a request <relation> is excluded for it, as "<reason>"
      | relation              | reason                              |
      | has at another server | enough other servers have the request |
      | leaves to a daemon    | left to another daemon              |
      | would hedge at        | leaving, so it gets no hedge        |
      | did not reach         | no connection could be opened       |
      | waits for             | has the request                     |
      | has sent twice to     | has got the request often enough    |
    And a server that a request has lost an answer of may get it once more
    And the log says of a server that a request did not reach "s1: no connection could be opened"

  Scenario: the platform's wire names are used in one folder only
    # Guards against decisions that depend on the names of one platform.
    Then no module outside the platform's folder contains one of its wire names
