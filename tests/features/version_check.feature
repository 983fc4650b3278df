Feature: Version check of a watcher
  A watcher finds changes that its watch misses, without listing all versions each time.

  Scenario: A silent watch delays a document by one version check
    Given a watcher daemon whose watches are silent
    When a document changes in the store of the watcher daemon
    Then the watcher daemon has the document after 2.5 s

  Scenario: A silent watch delays a share object by the check of all daemons
    Given a watcher daemon whose watches are silent
    When a share object changes in the store of the watcher daemon
    Then the watcher daemon has the share object after 10.5 s

  Scenario: The many versions of registrations are listed rarely
    Given a watcher daemon whose watches are silent
    When the watcher daemon has run for 60 s
    Then it has listed the documents 29 to 37 times and the registrations 5 to 7 times
