Feature: Operators see and drain VMs and targets
  Guards against drain orders that do not reach every VM or that cut off
  requests, and against decisions that cannot be explained afterwards.

  Scenario: A drained target gets no new work through any VM
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    When an operator drains target "gang-1" through "vm-1"
    And "vm-1" and "vm-2" know that "gang-1" is leaving
    And 6 generations are requested through "vm-1" and "vm-2"
    Then none of them started on "gang-1"

  Scenario: A drained VM completes its stream and then exits
    Given VMs "vm-1" and "vm-2" and answers of 200 tokens
    When a caller of "vm-1" reads a stream
    And an operator drains VM "vm-1" after token 40
    Then "vm-1" is not ready
    And the answer is complete, with each token once and in order
    And "vm-1" ends with status 0

  Scenario: A decision is explained by its request key
    Given VMs "vm-1" and answers of 5 tokens
    When "post" is sent through "vm-1"
    Then "vm-1" explains that "booking-1" was chosen

  Scenario: An order without the operators' key is refused
    Given VMs "vm-1" and answers of 5 tokens
    When a caller without the key drains target "gang-1" through "vm-1"
    Then the order is refused with status 401

  Scenario: A VM whose name a later process uses stops gracefully
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    When "vm-2" starts again under the same name
    Then the first "vm-2" ends with status 0
