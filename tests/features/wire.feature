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
