Feature: signals to a daemon

  Scenario: a signal that does not interrupt the wait for events is handled
    # Guards against a stop that begins late as SIGTERM came just before the wait.
    Given a process that waits for events without end
    When SIGTERM arrives without an interruption of the wait
    Then the process stops within 20 s
