Feature: audited changes under concurrent edits and lost replies

  Scenario: exactly one of two concurrent applies is stored
    # Guards against an apply that overwrites a concurrent change.
    Given a store with the document of service depot by "ada"
    When "bo" and "cy" apply different texts of depot at the same time
    Then exactly one apply is accepted and the other lost to it
    And the store holds the text of the winner with its audit entry
    And nothing of the loser is stored

  Scenario: an apply to an outdated version is refused
    # Guards against overwriting a version that the operator has not seen.
    Given a store with the document of service depot by "ada"
    When "bo" applies a text of depot to a version before that of "ada"
    Then the apply lost to "ada" and wrote nothing

  Scenario Outline: a write whose reply is lost is resolved by reading back
    # Guards against an unproven report and a change that is applied twice.
    Given a store with the document of service depot by "ada"
    When "bo" applies a text of depot while <fault> happens
    Then the apply is reported as <report>
    And the audit of depot has "bo" <times> times

    Examples:
      | fault                            | report      | times |
      | a lost reply                     | accepted    | 1     |
      | a lost request                   | accepted    | 1     |
      | a delayed write                  | accepted    | 1     |
      | a lost reply then a later change | accepted    | 1     |
      | a lost request and a later change| lost        | 0     |
      | a lost reply and failing reads   | unknown     | 1     |
      | a refused write                  | not applied | 0     |

  Scenario: the same steps run on a store with deferreds
    # Guards against steps that only work on a blocking store.
    Given a store with deferreds and the document of service depot by "ada"
    When "bo" applies a text of depot while a lost reply happens
    Then the apply is reported as accepted

  Scenario: the audit keeps the newest 50 entries and archives older ones first
    # Guards against audit entries that are removed before they are archived.
    When depot is changed 130 times and every third archive write loses its reply
    Then the object holds between 50 and 60 audit entries, the newest last
    And archives and object together hold all 130 entries once

  Scenario: reports are correct under any faults and any interleaving of steps
    # Guards against a report that contradicts the final state of the store.
    Then in any interleaving of edits under faults each report is correct

  Scenario: a failure domain goes out and in
    # Guards against an edit that loses the other list of the fleet object.
    When failure domain mtl-a goes out, VM rp-1 goes out and mtl-a comes back in
    Then the fleet has only VM rp-1 out and 3 audit entries
    And taking VM rp-1 out again is refused as "out already"
