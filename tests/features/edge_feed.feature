Feature: following the store through long outages

  Scenario: a store that is down for an hour is read again when it is back
    # Guards against a retry that fails by itself after many failures in a row.
    Given a feed whose store fails every call
    When 3600 s pass on its clock
    Then it has called the store at most 3 times in each second
    When the store is back and 1 s passes
    Then the feed has read it

  Scenario: a reply without the fields of a list is a failed call
    # Guards against a feed that stops for good at a reply it can't read.
    Given a feed whose store answers without any field
    When 10 s pass on its clock
    Then it counts the store as lost
    When the store is back and 1 s passes
    Then the feed has read it

  Scenario: a change between two pages of a list is not missed
    # Guards against a server that left while the list was read and stays in use.
    Given a feed whose store lists "s1", then removes it, and then lists "s2"
    When 1 s pass on its clock
    Then the feed knows only "s2"
