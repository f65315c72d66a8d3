Feature: Load reports are read by one VM for all
  Guards against reads of an engine that grow with the number of VMs, and
  against VMs that place requests by reports several seconds old.

  Scenario: One VM of its data centre reads an engine
    Given 195 VMs and 30 engines in 6 data centres
    Then each engine is read by exactly one VM, which is in its data centre
    And no VM reads more than 4 engines

  Scenario Outline: Reports are not shared where few VMs could read
    Given <vms> VMs and 6 engines in 3 data centres
    Then the engines are read for others by <readers> VMs

    Examples:
      | vms | readers |
      | 9   | no      |
      | 12  | some    |

  Scenario: A leaving engine is not read for others
    Given 195 VMs and 30 engines in 6 data centres
    When engine-3 is leaving
    Then engine-3 is read by no VM

  Scenario: A report reaches every VM in two messages
    Given 195 VMs and 30 engines in 6 data centres
    When the reader of each engine publishes a report with 7 running requests
    Then every VM has the reports of all engines
    And no VM has sent more than 70 messages

  Scenario: A report of a VM that does not read the engine is not published
    Given 195 VMs and 30 engines in 6 data centres
    When another VM than its reader publishes a report of engine-3
    Then no message is sent

  Scenario: The newest of the collected reports is distributed
    Given 12 VMs and 6 engines in 3 data centres
    When the reader of engine-3 publishes a report, then an older one
    Then every other VM has the newer report

  Scenario Outline: A send is announced once to every other VM
    Given <vms> VMs and 30 engines in 6 data centres
    When a VM sends a request with 700 tokens to engine-3
    Then <receivers> VMs count one send of 700 tokens to engine-3

    Examples:
      | vms | receivers |
      | 195 | 194       |
      | 12  | 0         |

  Scenario Outline: Sends of siblings are counted until a report counts them
    Given an engine with a report of 1000 tokens measured 0.5 seconds ago
    When siblings have sent 300 tokens <ago> seconds ago
    And <event>
    Then the engine has <used> tokens and <waiting> sends of siblings

    Examples:
      | ago | event                                   | used | waiting |
      | 0.2 | nothing else happens                    | 1300 | 1       |
      | 0.5 | nothing else happens                    | 1300 | 1       |
      | 0.6 | nothing else happens                    | 1000 | 0       |
      | 0.2 | a report of 1300 tokens is 0.1 s old    | 1300 | 0       |
      | 0.2 | a report of 1000 tokens is 0.3 s old    | 1300 | 1       |
      | 0.2 | no report arrives for 4 seconds         | 1000 | 0       |

  Scenario: Sends of siblings are dropped if no report arrives
    Guards against memory that grows while an engine does not report.
    Given an engine with a report of 1000 tokens measured 0.5 seconds ago
    When siblings send 300 tokens every second for 60 seconds
    Then at most 4 sends of siblings are kept

  Scenario: A shared report postpones the reads of an engine
    Given a follower of an engine that another VM reads
    When a shared report arrives every second for 20 seconds
    Then the follower has read the engine once

  Scenario: The reader of an engine reads it four times a second
    Given a follower of an engine that this VM reads
    When 5 seconds pass for the follower
    Then the follower has read the engine at least 19 times

  Scenario: A reclaim that reports repeat is announced every two seconds
    Given a follower of an engine that another VM reads
    When a shared report with a reclaim arrives 10 times within a second
    Then the reclaim is announced once
