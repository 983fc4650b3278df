Feature: Exchange of configuration between daemons
  Daemons send each other newer objects, and few bytes if few versions differ.

  Scenario: A digest makes up for a lost announcement with few bytes
    Given 2 exchanging daemons with 600 objects each
    When an object changes at one of them and its announcement is lost
    And the exchange runs for 1 s
    Then the exchanging daemons have equal versions
    And fewer than 3000 bytes were exchanged

  Scenario: An old difference is resolved without any announcement
    Given 2 exchanging daemons with 600 objects each
    When an object changes at one of them and its announcement is lost
    And 60 s pass without any exchange
    And the exchange runs for 12 s
    Then the exchanging daemons have equal versions

  Scenario: Two halves of a partitioned fleet agree within 12 s after the partition
    Given 12 exchanging daemons with 50 objects each
    When the daemons are partitioned into halves for 60 s while objects change in each half
    And the partition ends
    And the exchange runs for 12 s
    Then the exchanging daemons have equal versions

  Scenario: Lost messages delay convergence but do not prevent it
    Given 8 exchanging daemons with 50 objects each
    When objects change for 30 s while one message in three is lost
    And the exchange runs for 12 s
    Then the exchanging daemons have equal versions

  Scenario: Each daemon receives a changed object about once
    Given 40 exchanging daemons with 10 objects each
    When 20 objects change one after the other at different daemons
    Then the exchanging daemons have equal versions
    And fewer than 1.2 copies of each change were sent to each daemon
