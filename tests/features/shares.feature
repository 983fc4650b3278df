# A share daemon is a daemon of which only the management of shares runs. The servers
# whose slots these daemons divide among themselves are the shared servers.
Feature: the shares of a server always add up to its limit

  Scenario: the slots of a server are split over two holders
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    Then each shared server has 2 slots at 2 live holders
    And each shared server has 1 cold-start slot at one holder
    And the share daemons have written at most 2 times per group

  Scenario: a server with one slot has one holder
    Given 3 share daemons and 4 servers with 1 slots
    When the share daemons run for 3000 ms
    Then each shared server has 1 slots at 1 live holders

  # Guards against a share that is handed back and forth without end.
  Scenario: share writes end once the shares are balanced
    Given 4 share daemons and 6 servers with 3 slots
    When the share daemons run for 5000 ms
    And the share writes are counted
    And the share daemons run for 120000 ms
    Then no further share write was made

  Scenario: a vanished VM is replaced, and its share is used only after the wait
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And the VM of share daemon 1 vanishes
    And the share daemons run for 4500 ms
    Then a replaced share is written but not yet in use
    When the share daemons run for 6000 ms
    Then each shared server has 2 slots at 2 live holders

  # Guards against a release of a replaced share while work of the gone holder may
  # still run.
  Scenario: a replaced share is not released before the wait has passed
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And the VM of share daemon 1 vanishes
    And the share daemons run for 4500 ms
    And share daemon 0 releases all shares
    And share daemon 2 releases all shares
    And the share daemons run for 1000 ms
    Then the waiting shares are still in the store
    When the share daemons run for 6000 ms
    Then no share is in the store

  # Guards against a share that stays with a VM that no running daemon has seen.
  Scenario: a VM that vanished before any daemon started is replaced
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And the VM of share daemon 1 vanishes and all other daemons restart
    And the share daemons run for 20000 ms
    Then each shared server has 2 slots at 2 live holders

  Scenario: a daemon that leaves hands its shares over before it exits
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And share daemon 0 releases all shares
    And the share daemons run for 3000 ms
    Then the share release has completed
    And each shared server has 2 slots at 2 live holders

  # Guards against shares that others hand back to a daemon that has exited.
  Scenario: a release waits until the registration is marked as leaving
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And the next 3 writes of share daemon 0 are not applied
    And share daemon 0 releases all shares
    Then share daemon 0 has not completed its release
    When the share daemons run for 3000 ms
    Then the share release has completed
    And each shared server has 2 slots at 2 live holders

  # Guards against a share that is lost because the daemon that handed it over had not
  # yet read that the receiver was leaving.
  Scenario: a share handed to a daemon that has exited is replaced
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And share daemon 0 releases all shares
    And the share daemons run for 1000 ms
    And share daemon 0 exits and is handed a share
    And the share daemons run for 8000 ms
    Then each shared server has 2 slots at 2 live holders

  # Guards against a handover that is written while work still uses the share.
  Scenario: work in use delays the handover of a share
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And share daemon 0 is busy with all that it holds
    And the VM of share daemon 0 is taken out by operators
    And the share daemons run for 3000 ms
    Then share daemon 0 may use nothing but is still named in the store
    When share daemon 0 has finished its work
    And the share daemons run for 3000 ms
    Then each shared server has 2 slots at 2 live holders
    And share daemon 0 holds nothing in the store

  # Guards against a restarted daemon that holds nothing until its periodic check, since
  # it had read its registration before it knew that this was its own.
  Scenario: a daemon plans as soon as it knows its incarnation
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And share daemon 2 is restarted and the reply to its registration is lost
    And the share daemons run for 1000 ms
    And share daemon 2 learns that it has registered
    And the share daemons run for 8000 ms
    Then share daemon 2 holds shares again

  Scenario: the holders keep their shares while the store is unavailable
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And all share daemons are disconnected from the store
    And the VM of share daemon 0 is taken out by operators
    And the share daemons run for 60000 ms
    Then each shared server has 2 slots at 2 live holders

  Scenario: a paused daemon uses nothing until the store has confirmed its shares
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And all share daemons are disconnected from the store
    And share daemon 0 finds that it was paused for 1500 ms
    Then share daemon 0 may use nothing but is still named in the store
    When the share daemons are connected to the store again
    And the share daemons run for 3000 ms
    Then each shared server has 2 slots at 2 live holders

  # Guards against a paused process that resumes after its VM was removed, while
  # its local configuration still contains its shares.
  Scenario Outline: a paused daemon whose VM was removed uses nothing
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And share daemon 0 is paused while its VM <event>
    Then share daemon 0 may use nothing but is still named in the store

    Examples:
      | event                               |
      | vanishes                            |
      | is replaced by one of the same name |

  Scenario: a daemon whose VM is missing from several list reads uses nothing
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And 4 list reads of share daemon 0 omit the VM of share daemon 0
    Then share daemon 0 may use nothing but is still named in the store

  Scenario: a VM is not gone if one read omits it or no read has listed it
    Given 2 share daemons and 1 servers with 2 slots
    When the share daemons run for 3000 ms
    And 1 list reads of share daemon 1 omit the VM of share daemon 0
    Then share daemon 1 counts the VM of share daemon 0 as present
    And share daemon 1 does not count the unlisted VM "vm-9" as gone
    When 4 list reads of share daemon 1 omit the VM of share daemon 0
    Then share daemon 1 counts the VM of share daemon 0 as gone

  Scenario: a lowered limit is clipped at once and a raised one is claimed
    Given 3 share daemons and 4 servers with 4 slots
    When the share daemons run for 3000 ms
    And the limit of the shared servers changes to 1 slots
    Then each shared server has at most 1 slots in use
    When the share daemons run for 3000 ms
    Then each shared server has 1 slots at 1 live holders
    When the limit of the shared servers changes to 3 slots
    And the share daemons run for 3000 ms
    Then each shared server has 3 slots at 2 live holders

  # Guards against a server that has its full limit in two groups at once.
  Scenario: a server that changes its region moves to another group
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And the shared servers change to region "qc"
    Then each shared server has at most 2 slots in use
    When the share daemons run for 3000 ms
    Then each shared server has 2 slots at 2 live holders
    And no share object of region "mtl" has a holder

  # "A2" is a share of 2 slots and 2 connections of VM A. G is a gone VM, and C is the
  # other desired holder besides A.
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

  # Guards against an abandoned write that is applied after its sender has begun
  # to use its share again.
  Scenario: a write that arrives late adds nothing to the shares in use
    Given 3 share daemons and 4 servers with 2 slots
    When the share daemons run for 3000 ms
    And the next share writes of daemon 0 arrive late
    And the VM of share daemon 0 is taken out by operators
    And the share daemons run for 150 ms
    And all VMs are brought back by operators
    And the share daemons run for 3000 ms
    Then the late share writes arrive and are refused
    And each shared server has 2 slots at 2 live holders
