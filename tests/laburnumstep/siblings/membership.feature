Feature: Every VM knows which VMs are live
  Guards against failed VMs that others still regard as live, against live
  VMs that others regard as failed, and against old entries that return.

  Scenario Outline: All other VMs detect that VMs have failed
    Given <count> VMs that know each other
    When <failures> end
    And <seconds> s pass for the VMs
    Then the running VMs see <failures> as "failed"
    And the running VMs choose owners among the same <left> VMs

    Examples:
      | count | failures         | seconds | left |
      | 2     | vm-0             | 5       | 1    |
      | 8     | vm-3             | 5       | 7    |
      | 8     | vm-3, vm-4, vm-5 | 12      | 5    |
      | 50    | vm-3, vm-4       | 7       | 48   |

  Scenario: A VM that resumes after a pause does not undo newer entries
    Given 8 VMs that know each other
    And vm-2 has reported that "engine-1" failed
    When vm-2 is paused
    And 20 s pass for the VMs
    Then the running VMs see vm-2 as "failed"
    When vm-5 announces that "engine-1" is leaving
    And vm-2 resumes
    And 3 s pass for the VMs
    Then all VMs see 8 live VMs
    And all VMs see "engine-1" as "leaving"
    And no VM has reported another since vm-2 resumed

  Scenario: A VM wrongly regarded as failed is live after its first heartbeats
    Given 8 VMs that know each other
    When vm-2 is paused
    And 20 s pass for the VMs
    And the messages for vm-2 are lost
    And vm-2 resumes
    And vm-2 sends its heartbeats
    Then all VMs see 8 live VMs

  Scenario: A VM yields to a later process under its name
    Given 8 VMs that know each other
    When vm-2 is paused
    And 5 s pass for the VMs
    And vm-2 restarts at "address-b" with its clock 0 s ahead
    And 3 s pass for the VMs
    And the earlier vm-2 resumes
    And 10 s pass for the VMs
    Then the running VMs reach vm-2 at "address-b"
    And the earlier vm-2 has yielded
    And the later vm-2 has not yielded

  Scenario Outline: A restarted VM replaces its earlier entries
    Given 8 VMs that know each other
    When vm-2 end
    And vm-2 restarts at "address-b" with its clock <ahead> s ahead
    And 3 s pass for the VMs
    Then the running VMs reach vm-2 at "address-b"
    And all VMs see 8 live VMs
    And the later vm-2 has not yielded

    Examples:
      | ahead |
      | 0     |
      | -30   |
      | 30    |

  Scenario: One broken link does not make a VM failed for the others
    Given 8 VMs that know each other
    And the link between vm-1 and a VM that it watches is cut
    When 10 s pass for the VMs
    Then all VMs but vm-1 see 8 live VMs

  Scenario: A VM that its watchers cannot reach refutes their reports
    Given 8 VMs that know each other
    And the links between vm-1 and the VMs that watch it are cut
    When 10 s pass for the VMs
    Then all VMs see 8 live VMs
    And vm-1 has published at most 4 entries about itself since

  Scenario: The sides of a long partition find each other again
    Given 8 VMs that know each other
    When vm-0, vm-1, vm-2 are separated from the others
    And 400 s pass for the VMs
    Then the running VMs apart from vm-0, vm-1, vm-2 do not know vm-0
    When the partition heals
    And 30 s pass for the VMs
    Then all VMs see 8 live VMs

  Scenario: Both sides of a partition keep working and merge afterwards
    Given 8 VMs that know each other
    When vm-0, vm-1, vm-2 are separated from the others
    And 15 s pass for the VMs
    Then vm-0 sees 3 live VMs
    And vm-7 sees 5 live VMs
    When vm-0 announces that "engine-1" is leaving
    And vm-7 announces that "engine-2" is leaving
    And the partition heals
    And 4 s pass for the VMs
    Then all VMs see 8 live VMs
    And all VMs see "engine-1" as "leaving"
    And all VMs see "engine-2" as "leaving"

  Scenario: A partition of equal halves in which two VMs end
    Given 8 VMs that know each other
    When vm-0, vm-1, vm-2, vm-3 are separated from the others
    And vm-3, vm-4 end
    And 15 s pass for the VMs
    Then vm-0 sees 3 live VMs
    And vm-7 sees 3 live VMs
    When the partition heals
    And 8 s pass for the VMs
    Then the running VMs choose owners among the same 6 VMs

  Scenario: A stopping VM owns no partitions
    Given 8 VMs that know each other
    When vm-2 announces that it is stopping
    And 1 s pass for the VMs
    Then the running VMs see vm-2 as "stopping"
    And the running VMs choose owners among the same 7 VMs

  Scenario Outline: The VM list neither makes a failed VM live nor fails a live one
    Given 8 VMs that know each other
    And <ended> end
    And 6 s pass for the VMs
    When the VM list shows vm-2 as "<listed>" <age> s ago to all VMs
    And 1 s pass for the VMs
    Then the running VMs see vm-2 as "<state>"

    Examples:
      | ended | listed  | age | state   |
      | vm-2  | live    | 0   | failed  |
      | vm-5  | absent  | 0   | live    |
      | vm-5  | leaving | 0   | leaving |
      | vm-5  | leaving | 600 | live    |

  Scenario: A VM finds its siblings through the VM list alone
    Given 8 VMs that know each other
    When vm-8 starts without seeds and reads the VM list
    And 2 s pass for the VMs
    Then all VMs see 9 live VMs

  Scenario: A VM that does not return is removed
    Given 8 VMs that know each other
    When vm-2 end
    And 400 s pass for the VMs
    Then the running VMs do not know vm-2

  Scenario: Messages delivered three times cause no broadcast storm
    Given 8 VMs that know each other
    And each message is delivered 3 times
    When vm-1 announces that "engine-1" is leaving
    Then at most 8 VMs push the entry

  Scenario Outline: Limits are divided by the VMs that share them
    Guards against VMs that each take the whole of a common limit, or larger
    parts of it after they have lost one another.
    Given <count> VMs that know each other
    When <seconds> s pass for the VMs
    Then vm-0 divides limits by <divisor>, where 200 VMs are assumed

    Examples:
      | count | seconds | divisor |
      | 1     | 5       | 200     |
      | 2     | 5       | 2       |
      | 8     | 5       | 8       |

  Scenario: A VM that has lost all siblings keeps its part of a limit
    Given 8 VMs that know each other
    And vm-0 divides limits by 8, where 200 VMs are assumed
    When vm-1, vm-2, vm-3, vm-4, vm-5, vm-6, vm-7 end
    And 400 s pass for the VMs
    Then vm-0 divides limits by 8, where 200 VMs are assumed
