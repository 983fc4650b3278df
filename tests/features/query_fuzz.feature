Feature: fuzzing of queries against an oracle

  Scenario: queries stay correct under late, crossed and lost answers
    When the query machine runs 200 examples of 50 steps
