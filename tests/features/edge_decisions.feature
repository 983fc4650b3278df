Feature: decisions of the query tier against simple oracles

  Scenario: extra arrivals of all daemons stay within the bound of every window
    # Guards against a burst of each daemon that adds up to more than the slack.
    Then whatever the daemons send, no window holds more extra arrivals than allowed

  Scenario: a process that starts again has no saved extra arrivals
    # Guards against a second burst within the window of the first one.
    Given extra load of a daemon that has started again
    Then it may send no extra arrival before its requests have earned one

  Scenario: daemons of a large fleet may hedge
    # Guards against a reserve that is larger than the share of one daemon of many.
    Then each of 86 daemons may hedge a request to a service at once

  Scenario: the slack comes back with time
    # Guards against a daemon with few requests that spends its share once for good.
    Then a daemon that has spent its share has another token after 1 windows

  Scenario: merged records equal those of a sort of all records
    Then any parts merge to their greatest records, also in two steps

  Scenario: a response reads the same however its bytes arrive
    Then any cut of a response gives the same response

  Scenario: a response that ends early is never complete
    # Guards against a truncated answer that looks whole.
    Then no beginning of a framed response gives a response

  Scenario: a server is slow only if more than one pause says so
    Given a server that has answered in its usual time
    When three requests meet one pause of the server
    Then the server does not count as slow
    When requests take ten times the usual time for a second
    Then the server counts as slow
    When 20 s pass without a request
    Then the server does not count as slow

  Scenario: the first request to a server tells nothing if it meets a pause
    # Guards against daemons with few requests that believe sound servers slow.
    Given a server that has not been measured
    When three requests meet one pause of the server
    Then the server does not count as slow
    When requests take ten times the usual time for a second
    Then the server counts as slow

  Scenario: a busy kind of objects is watched in batches
    # Guards against a call to the store for each of many changes in turn.
    Given a feed of a kind that changes every 10 ms
    When 3000 ms pass on the feed's clock
    Then the store got at most 25 calls
    And the feed knows the last change but those of 200 ms

  Scenario: connections of all daemons stay within what a server accepts
    Then for any fleet the connections to a server are fewer than its cap

  Scenario: the hubs of all regions reach a server that accepts few connections
    # Guards against hedges that no daemon may send across regions.
    Given 12 daemons in each of 2 failure domains of 3 regions
    Then each daemon near a server that accepts 58 connections may open one
    And each hub of the other regions may open one

  Scenario: requests of all daemons to a cold server stay within what it bears
    Then for any fleet the cold requests in a second are fewer than the bound

  Scenario: a cold server gets no more than this daemon's part in a second
    # Guards against a restarted server that falls over under the full load.
    Given a cold server that bears 10 requests a second, and 2 daemons
    When 50 requests a second want it for 3 seconds
    Then no second holds more than 9 of them
    And all of them get it once it is warm

  Scenario: a daemon that does not know the others takes little
    # Guards against many daemons that each take the whole of a limit while the
    # store does not tell them of each other.
    Then 9 daemons that know of no other stay within what a server accepts
    And they save no more extra arrivals than 9 daemons may

  Scenario Outline: news of a peer are taken only in order
    Given a kind that is known up to revision 20
    When a peer reports changes from <since> to <revision>
    Then the kind is known up to revision <known>

    Examples:
      | since | revision | known |
      | 20    | 25       | 25    |
      | 15    | 25       | 25    |
      | 22    | 25       | 20    |
      | 10    | 18       | 20    |

  Scenario: a pause of the own process ends no trust in a peer
    # Guards against two readers of the store after each pause of a daemon.
    Given a daemon that takes the news of a peer
    When its process does not run for 1500 ms
    Then it does not read the store itself
    When the peer sends nothing for 1500 ms
    Then it reads the store itself

  Scenario: the platform's names stay in one folder
    # Guards against decisions that depend on the users' way of speaking.
    Then no module outside the platform's folder holds a name of its wire
