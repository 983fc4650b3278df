Feature: replies of the store that exceed the limit of a daemon

  Scenario: changes that exceed the limit of a reply do not end the following
    # Guards against a feed that watches from the same revision for good, so that each
    # further reply is longer (review/10).
    Given a store with an object of "servers", and a feed that follows it
    When the store is away while an object of 1000000 bytes is written 9 times
    And it is back, and "new" of "servers" is written
    Then within 3 s the feed of "servers" knows "new"
    And one reply was counted as too long, and the log names the call and the feed
    When "newer" of "servers" is written
    Then within 2 s the feed of "servers" knows "newer"

  Scenario: changes that take longer to arrive than a watch do not end the following
    # Guards against a feed on a slow link that watches from the same revision for good:
    # no reply of a watch arrives whole in time, and each further one is longer.
    Given a store with an object of "servers", and a feed that follows it
    When the store sends 4000000 bytes a second
    And the store is away while an object of 500000 bytes is written 12 times
    And it is back, and "new" of "servers" is written
    Then within 3 s the feed of "servers" knows "new"
    And one reply was counted as too long, and the log names the call and the feed
    When "newer" of "servers" is written
    Then within 2 s the feed of "servers" knows "newer"

  Scenario Outline: the other kinds are followed while no reply of one fits
    # Guards against replies of one kind that cost the calls of the others.
    Given a store with an object of "servers", and a feed that follows it
    And a feed that follows "config" with calls of the same daemon
    When each <call> of "servers" gets a reply of 9 MB
    And "new" of "config" is written
    Then within 3 s the feed of "config" knows "new"
    When 2 s pass, and "newer" of "config" is written
    Then within 1 s the feed of "config" knows "newer"

    Examples:
      | call          |
      | watch         |
      | watch or list |

  Scenario: a feed whose every watch is too long calls the store with pauses
    # Guards against lists and watches without a pause, and against objects that are not
    # read any more meanwhile.
    Given a feed whose every watch gets a reply that is too long
    When 60 s pass on its clock
    Then from second 3 on it has watched at most 2 times in each second
    And from second 3 on it has listed the objects in each second
    When its watches are answered, and 3 s pass
    Then it waits for changes as before
    When its next watch is too long again
    Then it lists within the shortest delay

  Scenario Outline: watches that are too long for all daemons do not make all call
    # Guards against a kind that is not followed, or calls that grow with the daemons,
    # while lists are the only replies that fit.
    Given <daemons> daemons of a failure domain, of which one reads the store
    When each watch of the daemons gets a reply that is too long
    Then in 10000 ms no daemon's knowledge is older than 1500 ms
    And the store has got at most 8 calls a second

    Examples:
      | daemons |
      | 3       |
      | 32      |
      | 128     |

  Scenario: a page of a list that is too long is a failed call
    # Guards against a feed that stops, or calls without a pause, if no page fits.
    Given a feed whose every list gets a reply that is too long
    When 60 s pass on its clock
    Then it counts the store as lost
    And from second 3 on it has listed at most 3 times in each second
    When the store is back and 1 s passes
    Then the feed has read it

  Scenario: the list of daemons is read again after a page that was too long
    # Guards against a daemon that knows no others since one reply did not fit.
    Given a store with an object of "hemlockspoke-daemons", and its registrations
    When each list of "hemlockspoke-daemons" gets a reply of 9 MB
    Then a read of the registrations fails
    When the store is sound again
    Then a read of the registrations gives 1
