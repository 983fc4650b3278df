Feature: requests that wait for a connection to a server that may not be used any more

  Background:
    Given a platform with 1 shards and the daemon "e1" in "a1"
    And the configuration gives requests 6000 ms
    And servers of items that take 700 ms and accept few connections

  Scenario Outline: waiting orders go to another server
    # Guards against orders that reach a server long after it drains or is out of service,
    # and are lost when it exits.
    When 8 orders to "e1" wait for connections to "item-a1"
    And the server "item-a1" <change>
    Then no request reaches "item-a1" later than <limit_ms> ms after that
    And every order is answered with status 200 and has run once

    Examples:
      | change                           | limit_ms |
      | starts to drain                  | 300      |
      | has its failure domain taken out | 300      |
      | loses its entry                  | 300      |

  Scenario: waiting orders are refused when their only server leaves
    # Guards against orders that wait until their time is over for a server that is gone.
    Given the server "item-b1" has left
    When 8 orders to "e1" wait for connections to "item-a1"
    And the server "item-a1" starts to drain
    Then no request reaches "item-a1" later than 900 ms after that
    And the orders that it has not got are refused within 1200 ms after that
    And no order that was refused has reached a server
