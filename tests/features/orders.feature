Feature: a non-idempotent request runs at most once

  Scenario: fuzzed orders with crashes, lost replies and retries on other VMs
    Guards against running an order twice and against "not run" for one that has run.
    When order engines are fuzzed with 250 runs of 40 steps
    Then no invariant of orders was violated
