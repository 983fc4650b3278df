Feature: all promises hold under random faults

  Scenario Outline: a short soak with seed <seed>
    Guards against violations that only a combination of faults causes.
    When the soak runs for 20 s with seed <seed>
    Then the soak reports no violated invariants

    Examples:
      | seed |
      | 1    |
      | 2    |
