Feature: A configuration spreads between siblings without the log
  Guards against VMs that keep an old version while they cannot reach the
  log, and against a version that is replaced by an older one.

  Background:
    Given 8 VMs that know each other
    And all VMs hold version 4

  Scenario Outline: A newer version reaches every reachable VM within 4 s
    Given <fault>
    When vm-1 receives version 5 from the log
    And 4 s pass in which the VMs fetch configurations
    Then the reachable VMs hold version 5

    Examples:
      | fault                                   |
      | the network has fault "none"            |
      | the network has fault "a third of links cut"   |
      | vm-3, vm-4 end                          |

  Scenario: A VM that holds a newer version keeps it
    Given vm-2 holds version 6 that it has not announced
    When vm-1 receives version 5 from the log
    And 4 s pass in which the VMs fetch configurations
    Then vm-2 holds version 6

  Scenario: The only announcer ends before a sibling has fetched
    When vm-1 receives version 5 from the log
    And vm-1 end
    And 4 s pass in which the VMs fetch configurations
    Then the reachable VMs hold version 4
    When vm-2 receives version 5 from the log
    And 4 s pass in which the VMs fetch configurations
    Then the reachable VMs hold version 5

  Scenario: After a partition has healed, all VMs have the newer version
    When vm-0, vm-1, vm-2 are separated from the others
    And 6 s pass for the VMs
    And vm-0 receives version 6 from the log
    And vm-7 receives version 5 from the log
    And 4 s pass in which the VMs fetch configurations
    And the partition heals
    And 4 s pass in which the VMs fetch configurations
    Then the reachable VMs hold version 6

  Scenario: A sibling that sends an invalid document is skipped
    Given vm-3 announces version 5 and sends an invalid document
    When vm-1 receives version 5 from the log
    And 4 s pass in which the VMs fetch configurations
    Then the reachable VMs but vm-3 hold version 5

  Scenario: A refused configuration is not fetched again
    Given vm-2 refuses every configuration
    When vm-1 receives version 5 from the log
    And 4 s pass in which the VMs fetch configurations
    Then vm-2 was offered a configuration once

  Scenario: At most 8 VMs announce a version
    Given 20 VMs that know each other
    And all VMs hold version 4
    When 4 s pass for the VMs
    Then at most 8 VMs announce a version

  Scenario: The only VM with a version announces it whatever its score
    Given 20 VMs that know each other
    And all VMs hold version 4
    When the VM with the lowest score for version 5 receives it
    And 4 s pass in which the VMs fetch configurations
    Then the reachable VMs hold version 5

  Scenario: A document goes only to siblings that hold an older version
    Then vm-1 sends no document to a sibling that holds version 4
    And vm-1 sends its document to a sibling that holds version 3

  Scenario: The exchange waits for the log before it fetches
    Given a configuration exchange with a manual clock
    When a sibling announces version 5
    Then nothing is fetched before 0.5 s have passed
    And version 5 is fetched after 1 s

  Scenario: The exchange retries while no sibling answers
    Given a configuration exchange with a manual clock
    And the sibling does not answer the first fetch
    When a sibling announces version 5
    Then version 5 is fetched after 1.3 s

  Scenario Outline: Claim records go to the owner of their partition
    When <forwarder> forwards a claim for "<partition>" owned by <owner>
    Then the claim is handled by <owner>

    Examples:
      | forwarder       | partition | owner           |
      | a VM            | claims-07 | another VM      |
      | the owner       | claims-07 | the same VM     |

  Scenario Outline: A failed forward shows whether the owner may have acted
    Given the owner of "claims-07" is <fault>
    When another VM forwards a claim for "claims-07"
    Then the claim may have been acted on: <acted>

    Examples:
      | fault  | acted |
      | ended  | no    |
      | paused | yes   |
