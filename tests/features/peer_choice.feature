Feature: Choice of peers
  The number of streams per daemon does not grow with the fleet.

  Scenario: A small fleet is a full mesh
    Given a fleet of 9 VMs in which 4 hold shares
    Then each VM of the fleet chooses 8 peers

  Scenario Outline: A large fleet has bounded choices that keep it connected
    Given a fleet of <vms> VMs in which 20 hold shares
    Then no VM of the fleet chooses more than 36 peers
    And each VM of the fleet has chosen all holders
    And the chosen peers connect the fleet even without its holders

    Examples:
      | vms |
      | 100 |
      | 300 |

  Scenario: A VM that joins changes few choices
    Given a fleet of 200 VMs in which 20 hold shares
    When one VM joins the fleet
    Then fewer than 32 VMs of the fleet change their choice
