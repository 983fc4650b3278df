Feature: a non-idempotent request runs at most once

  Scenario: fuzzed orders under crashes, lost replies and retries over other VMs
    Guards against an order that runs twice and against a false "not run".
    When order engines are fuzzed with 250 runs of 40 steps
    Then no order rule was broken
