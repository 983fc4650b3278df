Feature: what has been taken out of use stays out of use when daemons start again

  # Guards against a daemon that believes an old list: of a peer that the store turns
  # away, of the store's history, or from before its own restart.

  Scenario Outline: a daemon uses nothing that is out of use
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And the daemon "e2" runs in "a1" connected to "e1"
    And the store turns "e1" away
    When <change>
    And <event>
    Then requests through "e2" from 2000 ms after the change to 5000 ms reach no "item-a1"
    And requests through "e1" have that outcome as well

    Examples: of a server
      | change                         | event                         |
      | the entry of "item-a1" is gone | the daemon "e2" starts again  |
      | the entry of "item-a1" is gone | the daemon "e1" starts again  |
      | the entry of "item-a1" is gone | the store drops its history   |
      | the server "item-a1" drains    | both daemons start again      |

    Examples: of a failure domain and a route
      | change                              | event                        |
      | the failure domain "a1" goes out    | the daemon "e2" starts again |
      | the failure domain "a1" goes out    | the store drops its history  |
      | the route of items is withdrawn     | the daemon "e2" starts again |
      | the route of items is withdrawn     | both daemons start again     |
