Feature: stops of two daemons and changes beside requests in progress

  Scenario Outline: a caller is answered when its daemon and the one it asked both stop
    # Guards against a request that ends with the second daemon, or with both at once.
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And the daemon "e3" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of items
    And "e1" and "e3" have 1700 ms for a stop
    And every server of items is "hang"
    When <request> is in progress at "e1" as <first> stops 20 ms before <second>
    Then it gets 502 without a not-run promise
    And it was answered before "e1" ended

    Examples:
      | request         | first | second |
      | an order        | "e3"  | "e1"   |
      | an order        | "e1"  | "e3"   |
      | an item request | "e3"  | "e1"   |
      | an item request | "e1"  | "e3"   |

  Scenario: a caller is answered when only the asked daemon stops
    # Guards against a final report that the end of the asked daemon discards.
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And the daemon "e3" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of items
    And "e1" and "e3" have 1700 ms for a stop
    And every server of items is "hang"
    When an order is in progress at "e1" as "e3" stops alone
    Then it gets 502 without a not-run promise
    And its answer says "the daemon has stopped before the answer"

  Scenario Outline: a query is answered when its daemon and the gathering one both stop
    # Guards against a query that waits for the report of a daemon that has ended.
    Given a platform with 3 shards and the daemon "e1" in "a1"
    And the daemon "e3" runs in "b1" connected to "e1"
    And "e1" may open no connection to the servers of shards
    And "e1" and "e3" have 1700 ms for a stop
    And every server of shards is "hang"
    When a query is in progress at "e1" as <first> stops 20 ms before <second>
    Then it gets 502 without a not-run promise
    And it was answered before "e1" ended

    Examples:
      | first | second |
      | "e3"  | "e1"   |
      | "e1"  | "e3"   |

  Scenario Outline: a request in progress is answered when <change>
    # Guards against a connection to a server that is cut sooner than its request's time.
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And every server of items takes 900 ms
    When an order is under way at "e1" when <change>
    Then it gets 200 with the proof and the body of one server

    Examples:
      | change                                              |
      | its route and its service are removed               |
      | the entries of the servers are removed              |
      | the entries are removed and their time is over      |
      | new bounds are read                                 |
      | the daemon stops and its route is removed           |

  Scenario Outline: a request that waits for a connection is answered when <change>
    # Guards against a request that waits for servers that may get nothing any more.
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And "e1" may open 1 connection to each server of items
    And every server of items takes 500 ms
    When 4 orders are under way at "e1" when <change>
    Then each gets 200 or 503, and each order that was refused has not run

    Examples:
      | change                                              |
      | its route and its service are removed               |
      | the entries of the servers are removed              |
      | the entries are removed and their time is over      |
      | the daemon stops and its route is removed           |
