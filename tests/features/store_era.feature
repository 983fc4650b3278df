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
