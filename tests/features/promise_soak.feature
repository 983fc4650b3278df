Feature: all promises hold under random faults

  Scenario Outline: a short soak with seed <seed>
    Guards against faults that break a promise only in combination.
    When the soak runs for 20 s with seed <seed>
    Then the soak has found nothing

    Examples:
      | seed |
      | 1    |
      | 2    |
