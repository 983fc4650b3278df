Feature: HTTP requests to upstreams

  Scenario: rows come from the requested version
    Given an upstream stand-in with {"indexes": {"bins": {"7": {"parts_total": 4, "parts": [0, 3]}}}}
    When the upstream client queries parts 0 and 3 of version 7
    Then the upstream rows are those of version 7

  Scenario: the error for a version that is gone lists the served versions
    Given an upstream stand-in with {"indexes": {"bins": {"8": {"parts_total": 4, "parts": [0]}}}}
    When the upstream client queries parts 0 and 3 of version 7
    Then the upstream error is version_gone, sent
    And the upstream error lists version 8

  Scenario: the connection limit holds while requests are cancelled
    Given an upstream stand-in with {"connections": 3, "slots": 3, "service_ms": 20, "connect_cost_ms": 2}
    And an upstream client with 3 connections
    When 60 upstream requests run 3 at a time and every third is cancelled
    Then the upstream counts 0 violations
    And the upstream has seen at least 15 cancellations

  Scenario: a call of another program is counted apart
    # Guards against violations that the tested client has not caused and nothing tells.
    Given an upstream stand-in with {}
    When another program reads "/api/objects/servers" from the upstream
    Then the upstream has seen 1 foreign requests and 0 violations

  Scenario: the server is used again after a query fails on a silent connection
    Given an upstream stand-in with {}
    And an upstream client with 2 connections
    When the upstream client queries part 0
    And the open upstream connections go silent
    And the upstream client queries part 0
    Then the upstream error is stalled, sent
    When the upstream client queries part 0
    Then the upstream rows are those of version 1

  Scenario: an order on a silent connection is not retried
    Given an upstream stand-in with {}
    And an upstream client with 2 connections
    When the upstream client queries part 0
    And the open upstream connections go silent
    And the upstream client sends order k1 with 400 ms left
    Then the upstream error is timeout, sent
    And the upstream has run 0 orders

  Scenario: a cancelled request completes only after its slot is free
    Given an upstream stand-in with {"service_ms": 5000}
    When an upstream request is cancelled after it has started
    Then the upstream error is cancelled, sent
    And the upstream had no request running when the cancelled one ended
    And the upstream connection was counted until then

  Scenario Outline: a refusal proves that the order has not run
    Given an upstream stand-in with <settings>
    When the upstream client sends order k1 with 400 ms left
    Then the upstream error is <kind>, sent
    And the upstream has run 0 orders

    Examples:
      | settings            | kind     |
      | {"shed_ratio": 1.0} | shed     |
      | {"draining": true}  | draining |

  Scenario: a refused connection proves that nothing was sent
    Given an upstream stand-in with {}
    When the upstream stand-in stops
    And the upstream client sends order k1 with 400 ms left
    Then the upstream error is refused, not sent

  Scenario: an order can be stopped until its first byte is sent
    Given an upstream stand-in with {"connect_cost_ms": 20}
    When the upstream client sends order k1 that may no longer be sent
    Then the upstream error is cancelled, not sent
    And the upstream has run 0 orders

  Scenario: an idle connection that the server closes is reported
    Given an upstream stand-in with {}
    When the upstream client queries part 0
    And the upstream stand-in stops
    Then the upstream client reports a lost idle connection

  Scenario Outline: the stand-in counts violations of its limits
    Given an upstream stand-in with <settings>
    And an upstream client with 6 connections
    When 4 upstream queries are sent at once
    Then the upstream counts <amount> <violation>

    Examples:
      | settings                                                                   | amount | violation          |
      | {"slots": 3}                                                               | 1      | slot_overruns      |
      | {"slots": 4, "cold": true, "cold_capacity": 2, "cold_notice_grace_ms": -1000, "unresponsive_ms": 0} | 2 | cold_overruns |
      | {"slots": 4, "connections": 3}                                             | 1      | connection_overruns |
      | {"draining": true, "drain_grace_ms": -1}                                   | 4      | work_after_drain   |

  Scenario: the stand-in runs as a process
    Given an upstream stand-in process with 2 servers
    Then both servers of the upstream stand-in process answer
