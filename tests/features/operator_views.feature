Feature: views of accounts and rollouts, without a network

  Scenario: samples are read as they were written
    # Guards against names in a configuration that break the lines of the metrics.
    Then any labels are the same after they were written and read
    And names that UTF-8 cannot represent do not end the answer

  Scenario: malformed metrics are refused, and nothing else happens
    # Guards against a traceback, or a wrong sum, from a cut or foreign answer.
    Then any text has samples or is refused
    And a text that was cut within a line is refused

  Scenario: accounts are named up to a limit, and their sums never fall
    # Guards against metrics without a bound, and against counts that are lost or counted
    # twice when a configuration adds, removes or reorders accounts.
    Then for any configurations and requests the metrics add up, with at most 201 labels

  Scenario: the metrics of a daemon have the quota in force
    Given a fleet of 12 daemons and an account with 10 requests a second
    When 500 requests pass a daemon's gates
    Then its metrics have the quota, and as many requests as have passed
    When a configuration without accounts is in force
    Then its metrics name no account
