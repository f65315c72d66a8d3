Feature: Failures of real sibling processes and connections
  Guards against failures that the in-process network does not reproduce:
  killed and suspended processes, and connections that break or stall.

  Scenario: Siblings detect a killed VM and the process that replaces it
    Given VM vm-0 in this process and VMs vm-1, vm-2 in their own
    When vm-1 gets SIGKILL
    Then vm-0 sees vm-1 as "failed"
    And the process vm-2 sees vm-1 as "failed"
    When vm-1 starts again in another process
    Then vm-0 sees vm-1 as "live" at its new address

  Scenario: A suspended VM receives the missed entries when it continues
    Given VM vm-0 in this process and VMs vm-1, vm-2 in their own
    When vm-1 gets SIGSTOP
    Then vm-0 sees vm-1 as "failed"
    When vm-0 in this process announces that "engine-1" is leaving
    Then the process vm-2 sees "engine-1" leaving
    When vm-1 gets SIGCONT
    Then the process vm-1 sees "engine-1" leaving and 3 live VMs
    And vm-0 sees vm-1 as "live"
    And vm-0 sees vm-2 as "live"

  Scenario: One VM is killed and another suspended at the same time
    Given VM vm-0 in this process and VMs vm-1, vm-2, vm-3 in their own
    When vm-1 gets SIGKILL
    And vm-2 gets SIGSTOP
    Then vm-0 sees vm-1 as "failed"
    And vm-0 sees vm-2 as "failed"
    When the process vm-3 announces that "engine-1" is leaving
    And vm-2 gets SIGCONT
    Then the process vm-2 sees "engine-1" leaving and 3 live VMs
    And vm-0 sees vm-2 as "live"

  Scenario Outline: Broken connections between two VMs are opened again
    Given VMs vm-0 and vm-1 in this process behind forwarders
    When the forwarders are "<fault>"
    Then vm-0 sees vm-1 as "failed"
    And vm-1 sees vm-0 as "failed"
    When vm-0 in this process announces that "engine-1" is leaving
    And the forwarders are "none"
    Then vm-0 sees vm-1 as "live"
    And vm-1 sees vm-0 as "live"
    And vm-1 sees "engine-1" leaving

    Examples:
      | fault   |
      | cut     |
      | stalled |
