Feature: shares under faults in any order

  # Guards against more work than a server's limit, and against capacity that
  # remains unused after the faults have ended.
  Scenario: fuzzed shares stay within limits and are complete after recovery
    Then the share machine runs 80 times with 30 steps and no failure
