Feature: entries of other writers that cannot be read cost themselves alone

  Scenario Outline: daemons follow the store beside an odd server entry
    # Guards against daemons that stop to follow the store, end, or know no server, after
    # an entry with bytes that are no text, deep nesting or a number that is too large.
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And another daemon "e2" in "a1" that takes the changes from "e1"
    When another writer's server entry has <value> as its service
    And the server "item-a1" starts to drain
    Then "e1" and "e2" know that "item-a1" is leaving
    When the daemon "e3" starts in "a1"
    Then "e3" knows the servers of items, and that "item-a1" is leaving

    Examples:
      | value                |
      | raw bytes            |
      | escaped surrogates   |
      | lists 100000 deep    |
      | lists 600 deep       |
      | a number of 60 bits more than fit |
      | 9000 digits          |

  Scenario: daemons follow the store beside entries nested to any depth
    # Guards against a depth at which one of the decoders and encoders on the way from
    # the store to routing and to other daemons gives up.
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And another daemon "e2" in "a1" that takes the changes from "e1"
    When another writer's entries of all kinds are nested 10 to 100000 deep
    And the server "item-a1" starts to drain
    Then "e1" and "e2" know that "item-a1" is leaving
    And "e1" and "e2" know that "a1" is out of service once it is
    When the daemon "e3" starts in "a1"
    Then "e3" knows the servers of items, and that "item-a1" is leaving

  Scenario: a key that is no string costs its object alone
    # Guards against a feed that ends with a TypeError, as a list cannot be a key.
    Then of three objects with one that has <key> as a key, the others are read
      | key    |
      | [1]    |
      | 1      |
      | null   |
      | "a" 1  |
    And for any bytes the body of a reply is read, or is none

  Scenario Outline: an unreadable entry of the largest size delays no request
    # Guards against a decoder that holds the event loop for seconds, so that all
    # daemons that read the store stand still whenever the entry changes. Half a second
    # is what the users' rules allow beyond the timeout of a request.
    When another writer changes an entry of 1 MB that consists of <elements> with <fault>
    Then the change is read within 500 ms of processor time
    And the change of a server beside it is read

    Examples:
      | elements         | fault            |
      | empty lists      | a long number    |
      | empty lists      | deep lists       |
      | empty lists      | a bare word      |
      | empty lists      | 500 bare words   |
      | nested lists     | deep lists       |
      | empty strings    | a long number    |
      | empty strings    | deep lists       |
      | empty strings    | a bare word      |
      | numbers          | a long number    |
      | numbers          | deep lists       |
      | small objects    | a long number    |
      | small objects    | a bare word      |
      | long numbers     | deep lists       |
      | bare words       | a long number    |
      | deep lists       | a bare word      |

  Scenario: odd objects of any kind leave the others as they are
    Then whatever object another writer leaves, the others are followed and relayed

  Scenario: a list of any length reaches the other daemons
    # Guards against a frame over the limit of the receiver, which closes the stream
    # each time.
    Given 100000 servers, and 9 with entries of 1900000 bytes
    When a daemon reads the list and another one takes it
    Then both know all servers, and no frame was over the limit
    When a stream ends within the list, and the next one brings a shorter list
    Then the other daemon knows the servers of the shorter list

  Scenario: an odd registration leaves the other daemons known
    # Guards against a daemon that ceases to read the list of daemons.
    Then whatever registration another writer leaves, the other daemons are known

  Scenario: a defect in the sink does not end a feed
    Given a feed whose sink fails at every change
    When 10 s pass on its clock
    Then the feed still watches the store

  Scenario: a feed whose call is never answered starts again
    # Guards against a feed that stops for good when a reply is lost inside the daemon.
    Given a feed whose store takes a call and never replies
    When the store is back and 1 s passes
    And 8 s pass on its clock
    Then the feed has read it
