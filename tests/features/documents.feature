Feature: checks of service documents and settings

  Scenario Outline: the example documents have the expected sizes
    # Guards against examples that fail the check or lack a shard.
    When the example document <file> is checked
    Then the document is accepted with <servers> servers
    And its index layout is "<indexes>" and its order layout is "<orders>"
    And the replicas of each of its shards are in different failure domains

    Examples:
      | file            | servers | indexes                                   | orders                          |
      | laurentide.yaml | 107     | bins 20x2, billing 30x2, depot-stock 1x3  | refill 4                        |
      | vestkyst.yaml   | 114     | order-desk 20x2, price-list 30x2, stock-ledger 5x2 | reservation 10, freight-booking 4 |

  Scenario: five mistakes are reported together with their locations
    # Guards against a check that stops at the first mistake or reports a wrong line.
    When this document is checked as "depot.yaml":
      """
      service: depot
      owner: Depot
      failure_domains: [mtl-a]
      queries:
        extra_load_ratio: 5
      indexes:
        stock:
          shards:
            - replicas: [ds-0, ds-9]
      upstream_classes:
        small: {slots: 2, connections: 10, cold_start_slots: 3}
      servers:
        ds-0: {class: small, address: "depot:80", failure_domain: mtl-a, region: mtl}
        ds-1: {class: small, address: "10.0.0.1:80", failure_domain: qc-a, region: qc}
      """
    Then the document is refused with exactly these findings:
      | place            | path                                    | found      |
      | depot.yaml:5:21  | queries.extra_load_ratio                | 5          |
      | depot.yaml:9:26  | indexes.stock.shards[0].replicas[1]     | "ds-9"     |
      | depot.yaml:11:56 | upstream_classes.small.cold_start_slots | 3          |
      | depot.yaml:13:33 | servers.ds-0.address                    | "depot:80" |
      | depot.yaml:14:64 | servers.ds-1.failure_domain             | "qc-a"     |

  Scenario Outline: one mistake in a valid document gives one finding
    # Guards against a check that no longer detects its mistake.
    When "<old>" in the valid document is replaced by "<new>"
    Then the document is refused at "<path>" with "<found>"

    Examples:
      | old                        | new                        | path                                 | found                                 |
      | owner: Depot               | owner: Depot\nteam: x      | team                                 | the field "team"                      |
      | owner: Depot               | # none                     | owner                                | no such field                         |
      | owner: Depot               | owner: Depot\nowner: Depot | owner                                | the key "owner" again                 |
      | slots: 2                   | slots: two                 | upstream_classes.small.slots         | "two"                                 |
      | slots: 2                   | slots: true                | upstream_classes.small.slots         | true                                  |
      | slots: 2                   | slots: .nan                | upstream_classes.small.slots         | .nan                                  |
      | slots: 2                   | slots: 11                  | upstream_classes.small.slots         | 11                                    |
      | class: small               | class: large               | servers.ds-0.class                   | "large"                               |
      | 10.0.0.1:80                | 10.0.0.0:80                | servers.ds-1.address                 | "10.0.0.0:80"                         |
      | 10.0.0.1:80                | 10.0.0.1:0                 | servers.ds-1.address                 | "10.0.0.1:0"                          |
      | replicas: [ds-0, ds-1]     | replicas: [ds-0, ds-0]     | indexes.stock.shards[0].replicas[1]  | "ds-0" again                          |
      | replicas: [ds-0, ds-1]     | replicas: []               | indexes.stock.shards[0].replicas     | 0 items                               |
      | deadline_ms: 3000          | deadline_ms: 5001          | orders.refill.deadline_ms            | deadline_ms 5001                      |
      | hedge_policy: quantile     | hedge_policy: often        | queries.hedge_policy                 | "often"                               |
      | hedge_policy: quantile     | hedge_policy: *a           |                                      | found undefined alias 'a'             |
      | failure_domains: [mtl-a]   | failure_domains: [mtl-a    |                                      | expected ',' or ']', but got ':'      |

  Scenario: the checks never raise
    # Guards against text that crashes a daemon or the command line.
    Then checking any text or any YAML-like value gives a document or findings
    And checking any damaged example gives a document or findings
    And an accepted document survives a second check

  Scenario: settings override the defaults
    When these settings are checked:
      """
      vm: entry-1
      region: mtl
      failure_domain: mtl-a
      caller_address: 0.0.0.0:8080
      peer_address: 10.0.0.1:8081
      operator_address: "[fd00::1]:8082"
      platform_address: 10.0.0.9:7000
      seed_peers: ["10.0.0.2:8081"]
      timings: {heartbeat_ms: 250}
      """
    Then the settings are accepted with heartbeat_ms 250 and stall_ms 250
    And the operator address of the settings is host "fd00::1" and port 8082
    And the example settings are accepted

  Scenario: all mistakes in settings are reported together
    When these settings are checked:
      """
      vm: entry-1
      region: mtl
      failure_domain: mtl-a
      caller_address: 10.0.0.1:8081
      peer_address: 10.0.0.1:8081
      operator_address: localhost:8082
      platform_address: 10.0.0.9:7000
      log_level: LOUD
      timings: {heartbeat_ms: 3000, isolation_limit_ms: 3001}
      """
    Then the settings are refused at lines 5, 6, 8, 9, 9

  Scenario: the reference agrees with the checks
    # Guards against a reference page whose defaults or limits differ from the code.
    Then the reference names each field with its default and its range
