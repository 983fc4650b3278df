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

  Scenario: the views of several daemons are the sums of their counts
    # Guards against counts of odd names that are lost, merged or counted twice.
    Then for any counts of daemons the accounts are summed
    And for any counts of daemons the rollouts are summed

  Scenario: foreign metrics with known names are refused, and nothing else happens
    # Guards against a traceback from something that is no daemon of this version.
    Then any samples have accounts and rollouts, or are refused

  Scenario: the view of an order has the evidence of all daemons and the verdict
    # Guards against operators who look at one daemon's part of the evidence.
    Given fleets of 10 daemons with 20 requests a second, seeds 0 to 0, calm
    When orders move the service to a version that is bad: 40% fail
    Then the view of the order is "rolled_back" with the decider's reason and evidence
    And daemons without an order have no metrics of rollouts

  Scenario: the metrics of orders are bounded
    # Guards against metrics that grow with routes, orders and odd versions.
    Then 60 orders with 128 routes have at most 50 of each, and sums of the others

  Scenario Outline: an address without metrics gives one line
    # Guards against a traceback, a hang, or a sum that hides a daemon which is missing.
    Given a metrics port that serves one account
    And an address that <behaviour>
    When an operator asks for accounts at the port and the address
    Then the command ends with 5, prints the account and a line with "<text>"
    When an operator asks for accounts at the address alone
    Then the command ends with 1 and prints a line with "<text>"
    When an operator asks for rollouts at the address alone
    Then the command ends with 1 and prints a line with "<text>"

    Examples:
      | behaviour                      | text                                   |
      | refuses connections            | Connection refused                     |
      | never answers                  | no complete answer in 300 ms           |
      | sends a byte now and then      | no complete answer in 300 ms           |
      | closes connections             | closed without an answer               |
      | answers without HTTP           | cut or is no HTTP                      |
      | answers with 404               | status 404 instead of metrics          |
      | answers with JSON              | not the metrics of a daemon: line 1    |
      | answers with metrics of others | there are no metrics of a daemon       |
      | cuts its body                  | cut or is no HTTP                      |
      | cuts its text                  | the text ends within a line            |
      | answers without an end         | the answer has over 4194304 bytes      |
      | answers with odd bytes         | the answer is no text                  |
      | has too many metrics           | more than 50000 metrics                |
      | has a negative count           | has no usable value                    |

  Scenario: a malformed address is bad usage
    # Guards against a view of the other daemons that looks complete.
    Given a metrics port that serves one account
    When an operator asks for accounts at the port and at "localhost:9464" and "1.2.3.4"
    Then the command ends with 2 and prints 2 lines
    And the port was not asked

  Scenario: a daemon that is named twice is counted once
    # Guards against sums that depend on how an operator lists the daemons.
    Given a metrics port that serves one account
    When an operator asks for accounts at the port, twice
    Then the command ends with 0 and prints the account once

  Scenario: names that control a terminal are printed as escapes
    # Guards against metrics that clear the screen or feign another row.
    Given a metrics port that serves an account with the name "a\u001b[2J\u202e"
    When an operator asks for accounts at the port
    Then it prints no control character
