Feature: the platform's daemons keep their promises under random faults

  Scenario Outline: a short soak of processes with seed <seed>
    Guards against faults that break a promise only in combination.
    When daemons run as processes for 15 s with seed <seed>
    Then their callers and servers have found nothing

    Examples:
      | seed |
      | 1    |
      | 2    |
