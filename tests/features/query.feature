Feature: queries of one snapshot

  Scenario: parts are grouped by server, and sub-queries are batched by holder
    Given a query tier of 4 shards with 8 parts of version 7
    When a fan-out query is started
    Then at most 2 query batches carry 4 items with 2 parts each
    When all sub-queries are answered
    Then the fan-out result is complete with version 7

  Scenario: a refused sub-query goes through the other holder, then to another replica
    Given a query tier of 1 shards with 1 parts of version 7
    When a fan-out query is started
    And the newest sub-query is answered "refused"
    Then the next sub-query goes to the same server through its other holder
    When the newest sub-query is answered "refused"
    Then the next sub-query goes to another server
    And no token of extra load is spent

  Scenario: an answer with another version is retried and not merged
    Given a query tier of 1 shards with 1 parts of version 7
    When a fan-out query is started
    And the newest sub-query is answered with version 6
    Then the next sub-query goes to another server
    When all sub-queries are answered
    Then the fan-out result is complete with version 7

  Scenario: a slow sub-query is hedged and cancelled when the hedge is answered
    Given a query tier of 2 shards with 2 parts of version 7
    When a fan-out query is started
    And one sub-query is answered and 60 ms pass
    Then one sub-query is hedged to another server
    When the hedge is answered
    Then the fan-out result is complete with version 7
    And the original sub-query is cancelled

  Scenario: a part that two replicas answer is merged once
    Given a query tier of 1 shards with 2 parts of version 7
    When a fan-out query is started
    And 60 ms pass and a hedge is sent
    And the slow sub-query answers only part 0
    And the hedge is answered
    Then the fan-out result is complete with version 7

  Scenario: a hedge that its holder refuses is sent through the other holder
    Given a query tier of 1 shards with 1 parts of version 7
    When a fan-out query is started
    And 60 ms pass and a hedge is sent
    And the hedge is refused and 20 ms pass
    Then the hedge is sent again to its server through the other holder

  Scenario: the answer at the deadline is partial and lists the missing parts
    Given a query tier of 2 shards with 4 parts of version 7
    When a fan-out query is started
    And one sub-query is answered and 795 ms pass
    Then the fan-out result misses 2 of 4 parts

  Scenario: a query restarts once if its version is removed
    Given a query tier of 1 shards with 1 parts of version 7
    When a fan-out query is started
    And version 8 replaces version 7 on all servers
    And every sub-query is answered "version_gone" until the query restarts
    And all sub-queries are answered
    Then the fan-out result is complete with version 8

  Scenario: a query without any known version is refused at once
    Given a query tier of 1 shards with 0 parts of version 7
    When a fan-out query is started
    Then the fan-out result is the problem "no-snapshot" with outcome "not_run"

  Scenario: a query waits briefly for a part whose share moves to another holder
    Guards against a partial answer while a share moves, although time is left.
    Given a query tier of 2 shards with 2 parts of version 7
    When a fan-out query is started
    And all sub-queries are answered
    And no holder reports the servers of part 1 any more
    And a fan-out query is started
    Then no sub-query is sent within 60 ms
    When another holder reports the servers of part 1
    And all sub-queries are answered after 30 ms
    Then the fan-out result is complete with version 7

  Scenario: a query does not wait long for a part that stays without a server
    Guards against late answers when all replicas of a part are lost.
    Given a query tier of 2 shards with 2 parts of version 7
    When a fan-out query is started
    And all sub-queries are answered
    And no holder reports the servers of part 1 any more
    And a fan-out query is started
    And all sub-queries are answered after 250 ms
    Then the fan-out result misses 1 of 2 parts

  Scenario: queries beyond the concurrency and queue limits are refused as not run
    Given a query tier that admits 1 query and queues 1
    When 3 fan-out queries are started
    Then the third is refused as "overloaded" and the second waits
    When the first query is answered
    Then the second query runs

  Scenario: a failure domain that is taken out gets no new sub-query
    Given a query tier of 1 shards with 1 parts of version 7
    When the failure domain of all its servers is taken out
    And a fan-out query is started
    Then the fan-out result is the problem "no-snapshot" with outcome "not_run"

  Scenario: a draining server and a lost holder are removed from the routes
    Given a query tier of 1 shards with 1 parts of version 7
    When server "s00-a" is reported as draining by its only reporter
    Then the replicas of part 0 name only server "s00-b"
    When the reports of holder "vm-1" are removed
    Then part 0 has no replica

  Scenario: the hedge delay converges to the quantile despite cancelled sub-queries
    When the quantile policy gets 20000 latencies of which 1 % are cancelled as overdue
    Then its hedge delay is within 10 % of the 95th percentile

  Scenario: the last sub-query of a query is hedged relative to the others
    Guards against late hedges in a period in which all servers are slow.
    Given a query tier with the policy "relative" of 20 shards
    When a fan-out query is started
    And all but one sub-query are answered after 30 ms
    Then no sub-query is sent within 5 ms
    And one sub-query is sent to another server within 2 ms
