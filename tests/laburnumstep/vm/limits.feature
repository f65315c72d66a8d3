Feature: Limits of a workspace hold across VMs
  Guards against a workspace that gets its whole limit from each VM, and
  against one whose share never reaches the VM that it uses.

  Scenario: Shares reach the VM that has the demand
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    And the limit of concurrency is 8
    When "vm-1" has 8 streams that wait
    Then all 8 are begun in time on "vm-1"
    And a further generation through "vm-1" is refused with "limit_exceeded"
