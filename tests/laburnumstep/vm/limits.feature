Feature: Limits of a workspace apply across VMs
  Guards against a workspace that receives its whole limit on each VM, and
  against one whose share never reaches the VM that it uses.

  Scenario: Shares reach the VM that has the demand
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    And the concurrency limit is 8
    When "vm-1" has 8 waiting streams
    Then all 8 start on "vm-1"
    And a further generation through "vm-1" is refused with "limit_exceeded"
