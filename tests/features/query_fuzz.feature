Feature: fuzzing of queries against an oracle

  Scenario: queries stay correct with late, misdirected and lost answers
    When the query machine runs 200 examples of 50 steps
