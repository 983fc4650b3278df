Feature: command line for operators

  Scenario: importing the command line is cheap
    # Guards against a slow start because the libraries of the daemon are imported.
    Then importing hemlockspoke.ui loads no typer, rich, yaml or twisted
    And importing the whole application loads no twisted

  Scenario: errors in a file are printed with their positions
    Given an operator's platform
    When the operator runs "service check {bad}"
    Then the operator's command ends with 2 and prints "bad.yaml:1:1: owner"
    And with --json it prints a list of findings with line and column

  Scenario: a document is applied, announced and listed
    Given an operator's platform with a daemon that has nothing in force
    When the operator runs "service apply examples/laurentide.yaml --why first --who ada"
    Then the operator's command ends with 0 and prints "services/laurentide is at 2"
    And the operator's daemon has received one announcement
    When the operator runs "service history laurentide --json"
    Then the operator's command ends with 0 and prints ""who": "ada""
    When the operator runs "service show laurentide"
    Then it prints the text of examples/laurentide.yaml
    When the operator runs "service diff examples/laurentide.yaml"
    Then the operator's command ends with 0 and prints "no difference at version 2"
    When the operator runs "service apply examples/laurentide.yaml --why again"
    Then the operator's command ends with 1 and prints "holds this text already"
    When the operator runs "service list"
    Then the operator's command ends with 0 and prints "sabliere-laurentide"
    When the operator runs "status"
    Then the operator's command ends with 0 and prints "in force on 0 of 1 daemons"
    When the operator's daemon has the document in force
    And the operator runs "status"
    Then the operator's command ends with 0 and prints "services/laurentide at 2, 1.5 s old"

  Scenario: a server may not be in two documents
    # Guards against two services that each assign all limits of the same server.
    Given an operator's platform
    And the operator has run "service apply examples/laurentide.yaml --why first"
    When the operator runs "service apply {copy} --why copy"
    Then the operator's command ends with 2 and prints "laurentide has it"

  Scenario Outline: failure domains and VMs go out only by a known name or with --force
    Given an operator's platform
    And the operator has run "service apply {small} --why first"
    When the operator runs "<command>"
    Then the operator's command ends with <code> and prints "<text>"

    Examples:
      | command                               | code | text                       |
      | domain out mtl-b --why x              | 2    | known are mtl-a            |
      | domain out mtl-b --why x --force      | 0    | +failure_domains_out       |
      | domain out mtl-a --why x              | 0    | announced to no daemon     |
      | domain in mtl-a --why x               | 1    | is in already              |
      | vm out ds-9 --why x                | 2    | no VM or server ds-9    |
      | vm out ds-0 --why x                | 0    | +vms_out: ds-0          |
      | vm out ds-0                        | 2    | --why                      |
      | vm list                               | 0    | ds-0                    |
      | domain list                           | 0    | mtl-a                      |
      | audit --limit 1                       | 0    | +16 -0                     |
      | service history depot --diffs         | 0    | +service: depot            |

  Scenario Outline: exit codes distinguish a lost race from an unknown result
    # Guards against a command that reports success or failure without proof.
    Given an operator's platform
    And the operator's write meets <fault>
    When the operator runs "domain out mtl-a --force --why x"
    Then the operator's command ends with <code> and prints "<text>"

    Examples:
      | fault                         | code | text                     |
      | another operator comes first  | 3    | ada: VM rp-1 out (first) |
      | a lost reply                  | 0    | accepted                 |
      | a lost reply and no more reads| 4    | it is not known whether  |
      | a refusal                     | 1    | did not take the change  |
      | an interrupt                  | 4    | stopped by KeyboardInterrupt |

  Scenario Outline: queries and orders are sent as a caller sends them
    Given an operator's platform
    And the operator's entry answers <path> with <status> and <body>
    When the operator runs "<command>"
    Then the operator's command ends with <code> and prints "<text>"

    Examples:
      | path             | status | body                                                                                                                                                        | command               | code | text                          |
      | indexes/bins/query | 200  | {"snapshot": {"index": "bins", "version": 7}, "coverage": {"parts_answered": 1, "parts_total": 2, "missing_parts": [1]}, "complete": false, "rows": [{"a": 1}]} | query laurentide bins | 0 | 1 of 2 parts, without [1] |
      | indexes/bins/query | 503  | {"title": "Busy", "outcome": "not_run"}                                                                                                                    | query laurentide bins | 1    | outcome: not_run              |
      | orders/refill    | 200    | {"outcome": "done", "result": 1, "replayed": false}                                                                                                        | order laurentide refill --key k1 | 0 | "key": "k1"         |
      | orders/refill    | 409    | {"title": "In progress", "outcome": "unknown"}                                                                                                             | order laurentide refill | 4  | outcome: unknown              |
      | orders/refill    | 422    | {"title": "Other body", "outcome": "not_run"}                                                                                                              | order laurentide refill | 2  | Other body                    |
      | orders/refill    | 0      | {}                                                                                                                                                         | order laurentide refill --key k1 | 4 | ask again with --key k1 |
      | orders/refill    | 200    | {}                                                                                                                                                         | order laurentide refill | 4  | status 200                    |
      | orders/refill    | 200    | {}                                                                                                                                                         | order laurentide refill --key a\ b | 2 | --key must be     |
      | indexes/bins/query | 200  | {}                                                                                                                                                         | query laurentide bins | 1    | status 200                    |
