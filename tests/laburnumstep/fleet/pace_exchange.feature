Feature: VMs tell one another the pace of engines
  Guards against a VM that trusts whatever arrives as a pace, and against a
  pace that only the VM with the stream knows.

  Scenario: What a stream shows is known to the siblings
    Given two VMs that exchange the pace of engines
    When a stream on vm-0 shows that engine-0 takes twice as long
    Then vm-1 expects half the speed of engine-0
    And vm-1 publishes nothing

  Scenario Outline: A pace that cannot be right is dropped
    Given two VMs that exchange the pace of engines
    When vm-1 receives <entry> about engine-0
    Then vm-1 expects the usual speed of engine-0

    Examples:
      | entry                   |
      | a truncated pace        |
      | a pace of 0 s a token   |
      | a pace of nan s a token |
      | a pace of 50 s a token  |
      | its own pace            |
