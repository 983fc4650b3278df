Feature: daemons relay store changes and gather parts for each other

  Background:
    Given a platform with 4 shards and the daemon "e1" in "a1"

  Scenario: one daemon of a failure domain reads the store for all
    Given the daemon "e2" runs in "a1" connected to "e1"
    When 1500 ms have passed
    Then only one of "e1, e2" reads the store
    When the configuration gives requests 300 ms
    Then "e1" adopts it within 1000 ms
    And "e2" adopts it within 1000 ms

  Scenario: the others read the store when the reading daemon loses it
    # Guards against a daemon that relies on a peer without access to the store.
    Given the daemon "e2" runs in "a1" connected to "e1"
    And 1500 ms go by
    And the store rejects calls of "e1"
    When 1500 ms have passed
    And the configuration gives requests 300 ms
    Then "e2" adopts it within 2500 ms
    And "e1" adopts it within 2500 ms

  Scenario: the others read the store when the reading daemon has stopped
    Given the daemon "e2" runs in "a1" connected to "e1"
    And 1500 ms go by
    And the daemon "e1" has stopped
    When the configuration gives requests 300 ms
    Then "e2" adopts it within 2500 ms

  Scenario: parts of another region are gathered by a daemon there
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing
    And the servers of "b1" were reached by "e3" only

  Scenario: a daemon sends requests itself when the gathering daemon has stopped
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    And the daemon "e3" has stopped
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing

  Scenario: no part is missing when the gathering daemon is silent
    # Guards against an answer that waits for a frozen daemon.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    And "e3" ignores messages from "e1"
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing

  Scenario: parts are gathered near their second servers if nobody is near the first
    # Guards against queries that fail after the loss of a failure domain at daemons
    # that may connect to few servers.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of shards
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing
    And the servers of "b1" were reached by "e3" only

  Scenario: another daemon gathers the parts when the first one is silent
    # Guards against parts that are missing as the own daemon may connect to no server.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the daemon "e4" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of shards
    And "e3" ignores messages from "e1"
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing

  Scenario: a caller that disconnects cancels the work of the gathering daemon
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    And every shard is "hang"
    When a caller sends a query to "e1" and disconnects
    Then the shards see their requests cancelled

  Scenario: registrations survive a lost answer and a restart
    Given the registration of "e9" is left over from an earlier process
    When the daemon "e9" starts in "a1"
    Then the store holds the current address of "e9"

  Scenario: two daemons never reach more servers than the route allows
    # Guards against a delegating and a gathering daemon that know different servers.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    And every shard has another server in "b1" that only "e3" knows
    And every shard has another server in "b1" that only "e1" knows
    And every shard is "hang"
    And the reports of "e3" are lost
    When a caller sends a query to "e1"
    Then no shard has run the query on more than 2 servers

  Scenario: a hedge that a daemon may not send is sent by one near the server
    # Guards against missing parts when servers accept few connections.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the server "s0-a1" is "hang"
    And "e1" may open no connection to "s0-b1"
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing
    And no shard has run the query on more than 2 servers

  Scenario: a daemon hedges late itself when no daemon is near the other server
    # Guards against a query without an answer since its hedge was left to a daemon that
    # does not exist.
    Given queries need the parts of all shards
    And one in five requests of queries takes 250 ms, the others 100 ms
    And the server "s0-a1" is "hang"
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing

  Scenario: no hedge goes to the server that the gathering daemon uses already
    # Guards against twice the load on the only server of a shard that stands.
    Given the daemon "e2" runs in "a1" connected to "e1"
    And the daemon "e3" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of shards
    And nothing listens at the address of "s0-a1"
    And the server "s0-b1" takes 350 ms
    When a caller sends a query to "e1"
    Then it gets 200 with 4 proofs and 0 parts missing
    And no server of shard 0 has got it more than 1 times

  Scenario: one slow server does not hold back the results of others after the aim
    # Guards against queries without an answer as the gathering daemon reported results
    # after the aim only together with the last one.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And the servers of "a1" are removed
    And the server "s0-b1" is "hang"
    And the server "s1-b1" takes 450 ms
    And the server "s2-b1" takes 450 ms
    When a caller sends a query to "e1"
    Then it gets 200 with 3 proofs and 1 parts missing
    And the answer has come within 1000 ms

  Scenario: a silent hedging daemon does not lead to a third server
    # Guards against more servers than the route allows when the daemon that was to
    # send a hedge counts as silent.
    Given the daemon "e3" runs in "b1" connected to "e1"
    And every shard has a third server, in "b1"
    And every server of shard 0 is "hang"
    And "e1" may send to "b1" only after 200 ms, and then prefers the third servers
    And the reports of "e3" are lost
    When a caller sends a query to "e1"
    Then no shard has run the query on more than 2 servers

  Scenario: nothing is sent for a query that has been answered
    # Guards against requests that are still sent when their connection opens late.
    Given shard 0 has only the server "s0-a1"
    And connections to "s0-a1" open after 600 ms
    When a caller sends a query to "e1"
    Then it gets 200 with 3 proofs and 1 parts missing
    When 700 ms have passed
    Then "s0-a1" has received nothing
