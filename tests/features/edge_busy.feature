Feature: requests at a daemon that is busy

  Scenario Outline: an answer that waits to be read when the request's time is up
    # Guards against a busy daemon that answers 504 before it reads the server's answer.
    Given a platform whose daemon "e1" may stop, with servers that take 9000 ms
    When <method> <path> is sent with 1000 ms, and the daemon is busy while the servers answer, from 600 to 1300 ms after that
    Then the request gets status 200

    Examples:
      | method | path     |
      | POST   | /order/a |
      | GET    | /item/a  |
      | GET    | /query/a |
