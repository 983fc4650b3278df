Feature: a store that comes back from an older copy

  Scenario: changes under revisions that were given out again are in force everywhere
    # Guards against daemons that miss what was written again after the store had lost
    # what it had acknowledged.
    Given 4 daemons as processes in 2 failure domains
    When the store is away for 1 s and comes back as it was before 6 changes
    And the operator writes the version again and one with another route in its place
    And the server "item-a1" writes that it drains
    And 6 further changes are written before the daemons reach the store again
    Then after 6 s all daemons serve the added route and refuse the removed one
    And no request reaches "item-a1" from then on

  Scenario: nothing changes if the store is away without a loss
    Given 4 daemons as processes in 2 failure domains
    When the store is away for 1 s and comes back with all changes
    And the operator writes the version again and one with another route in its place
    And the server "item-a1" writes that it drains
    And 6 further changes are written before the daemons reach the store again
    Then after 6 s all daemons serve the added route and refuse the removed one
    And no request reaches "item-a1" from then on

  Scenario: a server that drains gets no request after a return, if nobody writes again
    # Guards against a second list of the era, by a daemon's own feed after the relay.
    Given 6 daemons as processes in 2 failure domains
    When the server "item-a1" drains, and the store comes back from before that after 3 s
    Then no request reaches "item-a1" in the next 4 s

  Scenario: an answer of an earlier era that arrives late is none
    # Guards against lists from before the return that end the search for lost objects.
    Given calls to a store that has stated era 3
    When an answer with status 200 states era 2
    Then the caller learns that there was no answer
    When an answer with status 200 states era 3
    Then the caller gets the answer

  Scenario: an answer without a readable era counts for the newest known one
    Given the eras of a store that has stated 3
    Then an answer that states <value> counts for era <era>
      | value     | era |
      | 3         | 3   |
      | 2         | 2   |
      | 4         | 4   |
      | nothing   | 4   |
      | x         | 4   |
      | -5        | 4   |
      | 3.5       | 4   |
      | 5 and 6   | 4   |
      | 10^30     | 4   |

  Scenario: a relayed list of a new era replaces a state with a higher revision
    # Guards against daemons that stay behind as their reader has listed anew.
    Given a daemon that has the servers "s1" at revision 900 of era 1 from its reader
    When the reader relays the list "s2" at revision 40 of era 2
    Then the daemon has "s2" at revision 40 of era 2
    When a peer relays the list "s1" at revision 950 of era 1
    And a peer relays the change "s3" after revision 30, at revision 960 of era 1
    Then the daemon has "s2" at revision 40 of era 2

  Scenario: a daemon learns of a new era by the list that its reader relays
    # Guards against lost registrations that are noticed with the next read, 10 s later.
    Given a daemon that has the servers "s1" at revision 900 of era 1 from its reader
    When the reader relays the list "s2" at revision 40 of era 2
    Then the newest era that the daemon has seen is 2

  Scenario: a revision of an earlier era confirms nothing
    # Guards against a state that looks up to date as a higher, dead revision is known.
    Given a daemon that has the servers "s1" at revision 900 of era 1 from its reader
    When the reader relays the list "s2" at revision 40 of era 2
    And 5 s later a reader states that it knows revision 950 of era 1
    Then the state of the daemon is 5 s old
    When a reader states that it knows revision 40 of era 2
    Then the state of the daemon is 0 s old

  Scenario: a feed lists again as soon as any answer states a new era
    # Guards against a feed that goes on from a revision that was given out again.
    Given a feed that watches from revision 900 of era 1
    When an answer to another call states era 2
    Then the feed lists the store at once
    When the answer to the watch of era 1 arrives with a change at revision 901
    Then the feed has ignored it
    When the list of era 2 arrives, up to revision 40
    Then the feed knows revision 40 of era 2

  Scenario: an older list takes nothing back that a daemon knows better
    # Guards against acknowledged changes that end because the store has lost them.
    Given a directory with version 9 and the domain "b1" out of service
    And its servers "drained" that drains, "again" with its second process, "gone" that has left
    And its server "cold" that has turned cold for 5 s
    When the first list of a new era has version 5, no domain out, and older entries
    Then version 9 is in force and "b1" is out of service
    And "drained" drains, "again" has its second process and "gone" is not used
    And "cold" is still cold
    When the same list is read again in that era
    Then version 9 is in force and "b1" is out of service
    And "drained" drains, "again" has its second process and "gone" is not used
    When the servers write again and the operator takes "b1" out and back
    Then "again" has its third process, "gone" is used and no domain is out of service

  Scenario: a server that drains when a daemon starts gets no request from it
    # Guards against requests after the drain time, which may be over by then.
    Given a directory with version 9 and the domain "b1" out of service
    When a daemon starts and reads that "drained" drains and "calm" is ready
    Then "drained" gets no request, also if there is no other server

  Scenario: what nobody writes again ends after a time
    # Guards against a state that differs from the store's for good.
    Given a directory with version 9 and the domain "b1" out of service
    And its servers "drained" that drains, "again" with its second process, "gone" that has left
    And its server "cold" that has turned cold for 5 s
    When the first list of a new era has version 5, no domain out, and older entries
    And the operator writes version 7
    And 11 s pass
    Then "drained" and "gone" are used as the store has them
    And version 9 is in force and "b1" is out of service
    When 50 s pass
    Then version 7 is in force and no domain is out of service

  Scenario: an order under a lower revision of a new era is followed
    # Guards against an order that is dropped as its revision is not above the known one.
    Given daemons that know the order for "v2" at revision 900 of era 1
    When a list of era 2 has the order for "v3" at revision 40
    Then they follow the order for "v3"

  Scenario Outline: a verdict that the store has lost is written again
    # Guards against a rollout that begins again after its end was told.
    Given 6 daemons whose rollout has ended as <verdict>
    When a list of era 2 has the order without its end
    Then within 3 s <verdict> is in the store again
    And no request was sampled in the meantime

    Examples:
      | verdict     |
      | completed   |
      | rolled_back |

  Scenario Outline: an order that the store has lost goes on until it is written again
    # Guards against a verdict that ends with the list of a copy made before the order.
    Given daemons that know the order for "v2" at revision 900 of era 1
    And the order for "v3" after it, which was rolled back
    When a list of era 2 has <orders>
    Then the order for "v3" is rolled back
    When the order for "v3" is written again at revision 50 of era 2
    Then the order for "v3" is rolled back

    Examples:
      | orders             |
      | no order           |
      | the order for "v2" |

  Scenario: an order that was removed after its end does not begin again
    # Guards against a rollout that the copy still has open.
    Given daemons that know the order for "v2" at revision 900 of era 1
    And the order for "v2" after it, which was completed
    And that order was removed
    When a list of era 2 has the order for "v2" at revision 40
    Then the order for "v2" is completed

  Scenario: daemons that decide anew keep to a verdict that others were told
    # Guards against a verdict that is reversed as all that decide have started again.
    Given 6 daemons whose rollout has ended as completed
    When all that decide start again and a list of era 2 has the order without its end
    Then within 8 s completed is in the store again

  Scenario: an order that nobody writes again ends after a time
    Given daemons that know the order for "v2" at revision 900 of era 1
    When a list of era 2 has no order
    And 61 s pass
    Then they follow no order

  Scenario: a registration that the store has lost is written again, and others count on
    # Guards against shares of limits that grow, and quotas that stop for ten minutes,
    # while registrations are missing.
    Given a daemon "e1" that is registered, and knows "e2"
    When the store comes back without registrations
    Then "e1" has written the one of before within 3 s
    And it counts as registered, and knows "e2", all the time
    When 61 s pass
    Then it knows no other daemon

  Scenario: an older registration in the store is not adopted
    # Guards against a process that forgets that start tokens were used.
    Given a daemon "e1" that is registered, and has used start tokens
    When the store comes back with the registration from before that
    Then within 3 s the store has the registration that names the start

  Scenario: the first registration of a VM names the era of the store
    # Guards against a restart without start tokens though the store has lost nothing.
    Given a daemon "e1" that is registered, and knows "e2"
    Then the store has its registration of era 1

  Scenario Outline: start tokens after a return of the store
    # Guards against start tokens that are used twice, as the first use was lost.
    Given a process that finds a registration of era <written> in era <current>
    Then it <answer> use start tokens

    Examples:
      | written | current | answer  |
      | 2       | 2       | may     |
      | 1       | 2       | may not |

  Scenario Outline: one daemon of a failure domain lists the store for all
    # Guards against daemons that stay in the earlier era, and against a list by each.
    Given <daemons> daemons of a failure domain, of which one reads the store
    When the store comes back 100 revisions older <trouble>
    Then the daemons that reach it have its state of 1000 ms before after <limit_ms> ms
    And at most <listers> daemons have listed it

    Examples:
      | daemons | trouble                          | limit_ms | listers |
      | 32      | at once                          | 2000     | 1       |
      | 100     | at once                          | 2000     | 1       |
      | 32      | twice within a second            | 2500     | 1       |
      | 32      | after it failed all calls for 3 s | 2500    | 4       |
      | 100     | after it failed all calls for 3 s | 2500    | 4       |
      | 32      | as the reader is cut off from it | 6000    | 2       |
      | 32      | as the reader is killed          | 4000     | 2       |

  Scenario: a higher version ends the wait of a lower one, however it arrives
    # Guards against a daemon that goes back to a version after a list had a higher one.
    Given a directory with version 9 and the domain "b1" out of service
    When the first list of a new era has version 5, no domain out, and older entries
    And the operator writes version 7
    And version 12 is listed
    And 61 s pass
    Then version 12 is in force and no domain is out of service

  Scenario: a draining server that one copy lacks and an older one has stays unused
    # Guards against two returns within seconds, the second one from an older copy.
    Given a directory with version 9 and the domain "b1" out of service
    And its servers "drained" that drains, "again" with its second process, "gone" that has left
    When a new era has no servers, and the next one older entries
    Then "drained" is not used

  Scenario: long after a return a lower version is no change of mind
    # Guards against versions that go down though the store has had a higher one since.
    Given a directory with version 9 and the domain "b1" out of service
    When the first list of a new era has version 5, no domain out, and older entries
    And the operator writes version 12
    And 61 s pass
    And the operator writes version 10
    And 61 s pass
    Then version 12 is in force and no domain is out of service

  Scenario: a lower version comes into force also where only a list has it
    # Guards against daemons that differ for good.
    Given a directory with version 9 and the domain "b1" out of service
    When the first list of a new era has version 5, no domain out, and older entries
    And version 7 is listed
    And 61 s pass
    Then version 7 is in force and no domain is out of service

  Scenario: orders that are all written again in turn keep their verdicts
    # Guards against rollouts that begin again, as each order replaces the one before.
    Given daemons that know the order for "v2" at revision 900 of era 1
    And the order for "v2" after it, which was completed
    And the order for "v3" after it, which was rolled back
    When a list of era 2 has no order
    And the order for "v2" is written again at revision 50 of era 2
    Then the order for "v2" is completed
    When the order for "v3" is written again at revision 51 of era 2
    Then the order for "v3" is rolled back

  Scenario: an earlier verdict on the same order reverses nothing
    # Guards against the verdict of a copy, after the same order was given twice.
    Given daemons that know the order for "v2" at revision 900 of era 1
    And the order for "v2" after it, which was rolled back
    And the order for "v2" after it, which was written anew and completed
    When a list of era 2 has the order for "v2" as rolled back
    Then the order for "v2" is completed

  Scenario: a registration is written again although the first read fails
    # Guards against a lost registration that waits for its renewal.
    Given a daemon "e1" that is registered, and knows "e2"
    When the store comes back without registrations, and fails 2 reads
    Then "e1" has written the one of before within 6 s
