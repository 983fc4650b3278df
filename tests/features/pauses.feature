Feature: a pause of the own process is not taken for silence of the other side

  # Guards against timeouts that fire before what arrived in a pause has been read: a
  # server counts as silent, its request is aborted and sent once more.

  Scenario: a reply of the store that arrives during a pause counts
    Given a server that replies after 100 ms, and calls with a timeout of 200 ms
    When a call is sent, and the process pauses for 400 ms
    Then its reply has arrived

  Scenario: an answer of an upstream that arrives during a pause counts
    Given a process with an upstream whose work takes 60 ms, and a connection to it
    When a query is sent on the connection, and the process pauses for 400 ms
    Then the query has been answered
    And a further query uses the same connection

  Scenario: a server that stays silent during a pause is noticed after it
    Given a server that replies after 5000 ms, and calls with a timeout of 200 ms
    When a call is sent, and the process pauses for 400 ms
    Then there is no answer within 100 ms after the pause
