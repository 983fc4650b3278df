Feature: Exchange of configuration between daemons
  Daemons bring each other up to date, and send little where little differs.

  Scenario: A lost announcement is found by a digest and costs few bytes
    Given 2 exchanging daemons with 600 objects each
    When an object changes at one of them and its announcement is lost
    And the exchange runs for 1 s
    Then the exchanging daemons have equal versions
    And fewer than 3000 bytes were exchanged

  Scenario: An old difference is found without any announcement
    Given 2 exchanging daemons with 600 objects each
    When an object changes at one of them and its announcement is lost
    And 60 s pass without any exchange
    And the exchange runs for 12 s
    Then the exchanging daemons have equal versions

  Scenario: Two parts of a fleet that were cut off agree again in 12 s
    Given 12 exchanging daemons with 50 objects each
    When the daemons are cut into halves for 60 s while objects change in each half
    And the cut ends
    And the exchange runs for 12 s
    Then the exchanging daemons have equal versions

  Scenario: Lost messages delay agreement but do not prevent it
    Given 8 exchanging daemons with 50 objects each
    When objects change for 30 s while one message in three is lost
    And the exchange runs for 12 s
    Then the exchanging daemons have equal versions

  Scenario: Each daemon gets a changed object about once
    Given 40 exchanging daemons with 10 objects each
    When 20 objects change one after the other at different daemons
    Then the exchanging daemons have equal versions
    And fewer than 1.2 copies of each change were sent to each daemon
