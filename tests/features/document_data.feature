Feature: the data beside a document's text

  Scenario: a document is built from its data as from its text
    Guards against a daemon that has something else in force than the text says.
    Given the example "laurentide" with the data that is stored beside it
    Then the document from its data equals the document from its text
    And the text is not read

  Scenario Outline: the text counts where the data cannot be trusted
    Guards against data that was written for another text, or by hand.
    Given the example "laurentide" with the data that is stored beside it
    When <change> in the stored data
    Then the document from its data equals the document from its text
    And the text is read

    Examples:
      | change                |
      | the digest is altered |
      | a server is removed   |
      | the value is a list   |

  Scenario: a mistake is reported with its place in the text
    Given a document text with a mistake, stored with its data
    Then the check of both reports the line of the mistake
