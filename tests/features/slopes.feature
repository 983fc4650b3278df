Feature: Measured slopes
  The command that measures slopes fits lines to costs at several sizes.

  Scenario: A fitted line gives back the slope that its points were made with
    Given slope points of 3 us per item and 7 us for none at sizes 1, 10 and 100
    When a slope line is fitted to the points
    Then the fitted slope is 3 with 7 at size 0 and no residual

  Scenario: A slope measurement that no longer fits the code fails
    When the slope measurements "control frames" and "exchange" are made at small sizes
    Then the slope table has a line with a unit for each of them
