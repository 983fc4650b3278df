Feature: shares under faults in any order

  # Guards against more work than a server bears, and against capacity that stays
  # lost after faults have ended.
  Scenario: fuzzed shares stay within limits and become whole again
    Then the share machine runs 80 times with 30 steps and no failure
