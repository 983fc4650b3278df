Feature: shares of servers always sum to what a server can handle

  Scenario: the slots of a server are split over two holders
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    Then each share server has 2 slots at 2 live holders
    And each share server has 1 cold-start slot at one holder
    And the share fleet has written at most 2 times per group

  Scenario: a server with one slot has one holder
    Given a share fleet of 3 daemons and 4 servers with 1 slots
    When 3000 ms of share time pass
    Then each share server has 1 slots at 1 live holders

  # Guards against a share that is handed back and forth for ever.
  Scenario: shares come to rest
    Given a share fleet of 4 daemons and 6 servers with 3 slots
    When 5000 ms of share time pass
    And the share writes are counted
    And 120000 ms of share time pass
    Then no further share write was made

  Scenario: a vanished VM is replaced, and its share is used only after the wait
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And the VM of share daemon 1 vanishes
    And 4500 ms of share time pass
    Then a replaced share is written but not yet in use
    When 6000 ms of share time pass
    Then each share server has 2 slots at 2 live holders

  # Guards against a release that sets a replaced share free while work of the gone
  # holder may still run.
  Scenario: a replaced share is not released before the wait has passed
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And the VM of share daemon 1 vanishes
    And 4500 ms of share time pass
    And share daemon 0 releases all shares
    And share daemon 2 releases all shares
    And 1000 ms of share time pass
    Then the shares that wait still stand in the store
    When 6000 ms of share time pass
    Then no share stands in the store

  # Guards against a share that stays with a VM that no running daemon has seen.
  Scenario: a VM that vanished before any daemon started is replaced
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And the VM of share daemon 1 vanishes and all other daemons restart
    And 20000 ms of share time pass
    Then each share server has 2 slots at 2 live holders

  Scenario: a daemon that leaves hands its shares over before it exits
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And share daemon 0 releases all shares
    And 3000 ms of share time pass
    Then the share release has completed
    And each share server has 2 slots at 2 live holders

  # Guards against shares that others hand back to a daemon that has exited.
  Scenario: a release waits until its announcement is written
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And the next 3 writes of share daemon 0 are not applied
    And share daemon 0 releases all shares
    Then share daemon 0 has not completed its release
    When 3000 ms of share time pass
    Then the share release has completed
    And each share server has 2 slots at 2 live holders

  # Guards against a lost share when a giver has not read that the taker leaves.
  Scenario: a share handed to a daemon that has exited is replaced
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And share daemon 0 releases all shares
    And 1000 ms of share time pass
    And share daemon 0 exits and is handed a share
    And 8000 ms of share time pass
    Then each share server has 2 slots at 2 live holders

  # Guards against a write that comes before the work in use has ended.
  Scenario: work in use delays the handover of a share
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And share daemon 0 is busy with all that it holds
    And the VM of share daemon 0 is taken out by operators
    And 3000 ms of share time pass
    Then share daemon 0 may use nothing but still stands in the store
    When share daemon 0 has finished its work
    And 3000 ms of share time pass
    Then each share server has 2 slots at 2 live holders
    And share daemon 0 holds nothing in the store

  Scenario: with the store down the holders keep their shares
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And all share daemons are cut from the store
    And the VM of share daemon 0 is taken out by operators
    And 60000 ms of share time pass
    Then each share server has 2 slots at 2 live holders

  Scenario: a paused daemon uses nothing until the store has confirmed its shares
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And all share daemons are cut from the store
    And share daemon 0 finds that it was paused for 1500 ms
    Then share daemon 0 may use nothing but still stands in the store
    When the share daemons reach the store again
    And 3000 ms of share time pass
    Then each share server has 2 slots at 2 live holders

  # Guards against a paused process that goes on after its VM was taken away, while
  # its own view still shows its shares.
  Scenario Outline: a paused daemon whose VM was taken away uses nothing
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And share daemon 0 sleeps while its VM <fate>
    Then share daemon 0 may use nothing but still stands in the store

    Examples:
      | fate                                |
      | vanishes                            |
      | is replaced by one of the same name |

  Scenario: a daemon whose VM is missing from the list for long uses nothing
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And 4 readings of share daemon 0 omit the VM of share daemon 0
    Then share daemon 0 may use nothing but still stands in the store

  Scenario: a VM is not gone when one reading omits it or none has listed it
    Given a share fleet of 2 daemons and 1 servers with 2 slots
    When 3000 ms of share time pass
    And 1 readings of share daemon 1 omit the VM of share daemon 0
    Then share daemon 1 counts the VM of share daemon 0 as present
    And share daemon 1 does not count the unlisted VM "vm-9" as gone
    When 4 readings of share daemon 1 omit the VM of share daemon 0
    Then share daemon 1 counts the VM of share daemon 0 as gone

  Scenario: a lowered limit is clipped at once and a raised one is claimed
    Given a share fleet of 3 daemons and 4 servers with 4 slots
    When 3000 ms of share time pass
    And the share limit changes to 1 slots
    Then each share server has at most 1 slots in use
    When 3000 ms of share time pass
    Then each share server has 1 slots at 1 live holders
    When the share limit changes to 3 slots
    And 3000 ms of share time pass
    Then each share server has 3 slots at 2 live holders

  # Guards against a server that has its full limit in two groups at once.
  Scenario: a server that changes its region moves to another group
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And the share servers change to region "qc"
    Then each share server has at most 2 slots in use
    When 3000 ms of share time pass
    Then each share server has 2 slots at 2 live holders
    And no share object of region "mtl" has a holder

  Scenario Outline: a proposal that breaks a rule is refused
    Given the share object <old> of a server with 4 slots
    When daemon "A" proposes the share object <new>
    Then the share proposal is refused by <rule>

    Examples:
      | old     | new     | rule    |
      | A2 B2   | B2 A3   | R1      |
      | A2 B1   | A2 B1 C1 | R1     |
      | A2 B2   | A2 B1   | R2      |
      | A2 G2   | A3      | R3      |
      | A2 G2   | A2      | R3      |
      | A2 B1   | A2 B2   | R4      |
      | C2      | C2 A2   | nothing |
      | A1 B2   | A2 B2   | R5      |
      | A1 B2   | B2 A2   | nothing |
      | A2 B2   | B2 C2   | nothing |
      | A2 G2   | A4      | nothing |
      | G2 B2   | B2 A2   | R5      |
      | G2 B2   | A2 B2   | nothing |
      | A2 B2   | A2 B2   | nothing |

  # Guards against a write that was given up arriving after its sender has taken
  # its share back into use.
  Scenario: a write that arrives late adds nothing to the shares in use
    Given a share fleet of 3 daemons and 4 servers with 2 slots
    When 3000 ms of share time pass
    And the next share writes of daemon 0 arrive late
    And the VM of share daemon 0 is taken out by operators
    And 150 ms of share time pass
    And no VM is taken out by operators
    And 3000 ms of share time pass
    Then the late share writes arrive and are refused
    And each share server has 2 slots at 2 live holders
