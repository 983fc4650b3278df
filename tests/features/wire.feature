Feature: encoding of messages between daemons

  Scenario: a message keeps its fields on the wire
    Given a ping with token 7
    When it is encoded and decoded
    Then the ping has token 7

  Scenario Outline: a malformed frame is rejected with a specific error
    When the frame <frame> is decoded
    Then it is refused with "<reason>"

    Examples:
      | frame      | reason               |
      | c1         | not msgpack          |
      | 80         | array                |
      | 91a3666f6f | unknown message type |
      | 91a470696e67 | has 0 fields       |

  Scenario: a list that is sent to many daemons is compressed once
    # Guards against a daemon that reads the store for hundreds of others and sends each
    # change of the configuration to all of them in full, on a link of 10 Mbit/s.
    Given changes of the store with 700 servers
    When it is encoded and decoded
    Then it is as before, and the frame had at most a third of its bytes
    And it is encoded only once

  Scenario Outline: a malformed compressed frame is rejected with a specific error
    # Guards against a peer whose frame expands to more than a frame may have.
    When a compressed frame that <defect> is decoded
    Then it is refused with "<reason>"

    Examples:
      | defect              | reason       |
      | is cut              | is cut       |
      | has further bytes   | is cut       |
      | expands to 5 MB     | is cut       |
      | is no zlib          | not compressed |
      | holds no message    | not msgpack  |
