Feature: the data beside a document's text

  Scenario: a document is built from its data as from its text
    Guards against a daemon whose document in force differs from the text.
    Given the example "laurentide" with the data that is stored beside it
    Then the document from its data equals the document from its text
    And the text is not read

  Scenario Outline: the text is used if the data does not match it
    Guards against data of another text and data that was edited by hand.
    Given the example "laurentide" with the data that is stored beside it
    When <change> in the stored data
    Then the document from its data equals the document from its text
    And the text is read

    Examples:
      | change                |
      | the digest is altered |
      | a server is removed   |
      | the value is a list   |

  Scenario: a mistake is reported with its line in the text
    Given a document text with a mistake, stored with its data
    Then the check of both reports the line of the mistake
