Feature: VMs of a data centre read a topic of the log through one of them
  Guards against calls to the log that grow with the number of VMs, and
  against a VM that misses a change, or takes an older one, because the VM
  through which it reads is frozen, cut off or gone.

  Scenario: One VM of a data centre reads the log for all
    Given 8 VMs that follow a topic
    When 10 seconds pass
    Then the first VM made at least 8 reads of the log, the others at most 2

  Scenario: Few VMs read the log themselves
    Given 3 VMs that follow a topic
    When 10 seconds pass
    Then every VM made at least 6 reads of the log

  Scenario Outline: A change is in force on every VM in spite of a fault
    Given 8 VMs that follow a topic
    And after 5 seconds <fault>
    When a change is appended
    Then the change is in force within 2.5 seconds on every VM but <excused>

    Examples:
      | fault                                             | excused      |
      | nothing fails                                     | none         |
      | VM 1 is cut from the log                          | 1            |
      | VM 1 is frozen                                    | 1            |
      | VM 1 has exited                                   | 1            |
      | VM 1 is cut from VM 5                             | none         |
      | VM 1 is cut from the log, VM 2 is frozen          | 1, 2         |
      | VM 1 has exited, VM 2 is cut from the log         | 1, 2         |
      | VM 5 is cut from the log                          | none         |
      | VM 5 is cut from the log, VM 1 is cut from VM 5   | 5            |
      | VM 1, VM 2, VM 3, VM 4 are cut from the log       | 1, 2, 3, 4   |
      | VM 1, VM 2, VM 3, VM 4 are frozen                 | 1, 2, 3, 4   |
      | each VM holds the next one for the reader         | none         |

  Scenario Outline: Another VM reads for all in place of one that cannot
    Given 8 VMs that follow a topic
    And after 5 seconds <fault>
    When 3 seconds pass
    Then only VM 2 has read the log for the last 3 seconds

    Examples:
      | fault                    |
      | VM 1 is frozen           |
      | VM 1 has exited          |
      | VM 1 is cut from the log |

  Scenario Outline: A change made during a fault is in force after it
    Given 8 VMs that follow a topic
    And after 5 seconds <fault>
    When a change is appended
    And 6 seconds pass
    And the faults end
    And 6 seconds pass
    Then the change is in force on every VM
    And no VM has applied an older change after a newer one

    Examples:
      | fault                                             |
      | VM 1 is cut from the log                          |
      | VM 1 is frozen                                    |
      | VM 1 is cut from the log, VM 2 is frozen          |
      | every VM is cut from the log                      |
      | every VM is cut from every other one              |

  Scenario: History that the log has deleted is read again from a sibling
    Given 8 VMs that follow a topic
    And after 5 seconds every VM is cut from the log
    When 20 changes are appended and the log deletes its history
    And the faults end
    And 8 seconds pass
    Then the change is in force on every VM
    And no VM has applied an older change after a newer one

  # Guards against a change that a VM misses, because it stands at an offset
  # which the VM has read before the log came back older.
  Scenario Outline: A change after the log came back older is in force everywhere
    Given 8 VMs that follow a topic
    And the topic has had 4 changes
    And after 5 seconds <fault>
    When the log comes back with the first change and <count> others
    And 6 seconds pass
    And the faults end
    And 6 seconds pass
    Then the change is in force on every VM

    Examples:
      | fault                                           | count |
      | nothing fails                                   | 1     |
      | nothing fails                                   | 3     |
      | nothing fails                                   | 5     |
      | VM 1 is frozen                                  | 3     |
      | VM 5 is frozen                                  | 3     |
      | VM 5 is frozen                                  | 5     |
      | VM 1 is cut from the log                        | 3     |
      | VM 5 is cut from the log                        | 3     |
      | VM 1 is cut from VM 5                           | 3     |
      | VM 1, VM 2, VM 3, VM 4 are cut from the log     | 3     |
      | VM 1, VM 2, VM 3, VM 4 are frozen               | 3     |
      | each VM holds the next one for the reader       | 3     |
