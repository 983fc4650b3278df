Feature: The reader of plain YAML
  Documents in plain YAML are read without the YAML library, which is slower.

  Scenario: The plain reader gives the library's nodes or gives up
    When texts near plain YAML are read by the plain reader and by the library
    Then the plain reader has read many of them, each as the library has

  Scenario: The plain reader reads the documents of the examples
    When the plain reader reads the example documents
    Then it gives up on none of them
