Feature: Measured slopes
  The command that measures slopes fits lines to costs at several sizes.

  Scenario: A fitted line recovers the slope that its points were generated with
    Given slope points that cost 3 us per item plus 7 us at sizes 1, 10 and 100
    When a slope line is fitted to the points
    Then the fitted slope is 3 with 7 at size 0 and no residual

  Scenario: Slope measurements run against the current code
    When the slope measurements "control frames" and "exchange" are made at small sizes
    Then the slope table has a line with a unit for each of them
