Feature: a holder keeps its limits and answers under any sequence of faults

  Scenario: fuzzing the gate and the holder against the oracle
    When the gate machine runs 200 examples of 40 steps
    Then the gate machine has found no violation
