Feature: a planned stop of hemlockspoked answers what the daemon has accepted

  Background:
    Given a cluster of 1 daemons with a drain lag of 500 ms and a drain limit of 3000 ms

  Scenario: connections that wait to be accepted are answered
    # Guards against connections in the kernel's queue, which a close of the port resets.
    When 20 callers connect and query while the daemon is suspended as it closes its port
    Then each of these callers gets an answer
    And the daemon exits with status zero within 3800 ms

  Scenario: requests in progress at the drain limit are answered
    # Guards against requests that are cut off when the time for the stop is over.
    Given cluster servers take 9000 ms
    When an order and a query are in progress as the daemon is terminated
    Then the daemon exits with status zero within 3800 ms
    And the order gets status 504 with outcome "unknown" and has run at most once
    And the query gets status 503 with outcome "failed"

  Scenario: an order whose claim is not stored at the drain limit is not run
    # Guards against an order that is cut off while it waits for the store.
    Given the cluster's store hangs on writes
    When an order waits for its claim as the daemon is terminated
    Then the daemon exits with status zero within 3800 ms
    And the order gets status 503 with outcome "not_run" and has not run

  Scenario: a second signal answers requests in progress
    # Guards against requests that are cut off when an operator repeats the signal.
    Given cluster servers take 9000 ms
    When an order and a query are in progress as the daemon is terminated twice
    Then the daemon exits with status zero within 3800 ms
    And the order gets status 504 with outcome "unknown" and has run at most once
    And the query gets status 503 with outcome "failed"

  Scenario: a request of which only a part has arrived at the drain limit is refused
    # Guards against a connection that ends without an answer to a slow sender.
    When a caller sends half of a query and the daemon is terminated
    Then the daemon exits with status zero within 3800 ms
    And the caller gets status 503 with outcome "not_run"

  Scenario: an answer that its caller reads slowly is sent whole
    # Guards against an exit that cuts an answer in the send buffer.
    When a caller reads a long answer slowly while the daemon is terminated
    Then the caller has read the whole answer
    And the daemon exits with status zero within 3800 ms

  Scenario: a request on a new connection at the end of the drain is answered
    # Guards against an exit that takes a connection without a request yet for idle.
    When a caller connects as the daemon closes its port and sends a query 200 ms later
    Then the caller gets an answer with status 200 or 503
    And the daemon exits with status zero within 3800 ms

  Scenario: an idle kept connection is closed before the process ends
    # Guards against a next request that meets the exit of the process.
    Given cluster servers take 9000 ms
    And a caller whose kept connection to the daemon has carried a request
    When an order and a query are in progress as the daemon is terminated
    Then the kept connection is closed within 2000 ms, before the process ends
    And the daemon exits with status zero within 3800 ms

  Scenario: a request that meets the close of a kept connection is answered
    # Guards against a close while the request waits in the kernel, which resets the
    # connection.
    Given a caller whose kept connection to the daemon has carried a request
    When its next request arrives while the daemon is suspended as it closes its port
    Then the caller gets an answer with status 200 or 503
    And the daemon exits with status zero within 3800 ms

  Scenario: the answer to a request that began before the stop closes its connection
    # Guards against a caller that sends its next request to a daemon that ends.
    Given cluster servers take 1000 ms
    When a caller sends a query and 300 ms later the daemon is terminated
    Then the caller's answer closes its connection
    And the daemon exits with status zero within 3800 ms
