Feature: Every VM knows which VMs are live
  Guards against VMs that are taken for live after they failed, against
  live ones that are given up, and against old entries that return.

  Scenario Outline: VMs that fail are noticed by all others
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

  Scenario: A frozen VM wakes up and does not undo what others know
    Given 8 VMs that know each other
    And vm-2 has noted that "engine-1" failed
    When vm-2 is paused
    And 20 s pass for the VMs
    Then the running VMs see vm-2 as "failed"
    When vm-5 notes that "engine-1" is leaving
    And vm-2 runs again
    And 3 s pass for the VMs
    Then all VMs see 8 live VMs
    And all VMs see "engine-1" as "leaving"
    And no VM has reported another since vm-2 ran again

  Scenario: A VM given up wrongly is live again with its first heartbeats
    Given 8 VMs that know each other
    When vm-2 is paused
    And 20 s pass for the VMs
    And the messages for vm-2 are lost
    And vm-2 runs again
    And vm-2 sends its heartbeats
    Then all VMs see 8 live VMs

  Scenario: A VM under whose name another has started yields
    Given 8 VMs that know each other
    When vm-2 is paused
    And 5 s pass for the VMs
    And vm-2 starts anew at "address-b" with its clock 0 s ahead
    And 3 s pass for the VMs
    And the earlier vm-2 runs again
    And 10 s pass for the VMs
    Then the running VMs reach vm-2 at "address-b"
    And the earlier vm-2 has yielded
    And the later vm-2 has not yielded

  Scenario Outline: A restarted VM replaces its earlier entries
    Given 8 VMs that know each other
    When vm-2 end
    And vm-2 starts anew at "address-b" with its clock <ahead> s ahead
    And 3 s pass for the VMs
    Then the running VMs reach vm-2 at "address-b"
    And all VMs see 8 live VMs
    And the later vm-2 has not yielded

    Examples:
      | ahead |
      | 0     |
      | -30   |
      | 30    |

  Scenario: One broken link does not fail a VM for the others
    Given 8 VMs that know each other
    And the link between vm-1 and a VM that it watches is cut
    When 10 s pass for the VMs
    Then all VMs but vm-1 see 8 live VMs

  Scenario: A VM that its watchers cannot reach denies their reports
    Given 8 VMs that know each other
    And the links between vm-1 and the VMs that watch it are cut
    When 10 s pass for the VMs
    Then all VMs see 8 live VMs
    And vm-1 has made at most 4 entries about itself since

  Scenario: The parts of a long partition find each other again
    Given 8 VMs that know each other
    When vm-0, vm-1, vm-2 are separated from the others
    And 400 s pass for the VMs
    Then the running VMs apart from vm-0, vm-1, vm-2 do not know vm-0
    When the partition heals
    And 30 s pass for the VMs
    Then all VMs see 8 live VMs

  Scenario: Both sides of a partition go on and join again
    Given 8 VMs that know each other
    When vm-0, vm-1, vm-2 are separated from the others
    And 15 s pass for the VMs
    Then vm-0 sees 3 live VMs
    And vm-7 sees 5 live VMs
    When vm-0 notes that "engine-1" is leaving
    And vm-7 notes that "engine-2" is leaving
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

  Scenario: A VM that is stopping owns nothing more
    Given 8 VMs that know each other
    When vm-2 notes that it is stopping
    And 1 s pass for the VMs
    Then the running VMs see vm-2 as "stopping"
    And the running VMs choose owners among the same 7 VMs

  Scenario Outline: The VM list cannot revive or end a VM
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

  Scenario: A VM that the platform has replaced is forgotten in the end
    Given 8 VMs that know each other
    When vm-2 end
    And 400 s pass for the VMs
    Then the running VMs do not know vm-2

  Scenario: Messages that arrive three times cause no storm
    Given 8 VMs that know each other
    And each message is delivered 3 times
    When vm-1 notes that "engine-1" is leaving
    Then at most 8 pushes carry it
