Feature: VMs keep a usable snapshot in the log
  Guards against a log from which a VM without state cannot start, and
  against the same snapshot being appended by every VM.

  Scenario Outline: A snapshot is due when the newest is too old
    Given the newest snapshot covers the log since <age> seconds
    And this VM <step> with version <held> in force and version <replayed> in the log
    Then with a retention of 3600 seconds the decision is "<decision>"

    Examples:
      | age  | step           | held | replayed | decision            |
      | 1199 | is in step     | 2    | 2        | none                |
      | 1201 | is in step     | 2    | 2        | snapshot through 7  |
      | none | is in step     | 2    | 2        | snapshot through 7  |
      | none | is not in step | 2    | 2        | none                |
      | none | is in step     | none | none     | none                |
      | 5    | is in step     | 2    | 1        | snapshot through -1 |
      | 5    | is in step     | 2    | none     | snapshot through -1 |
      | 5    | is not in step | 2    | 1        | none                |

  Scenario: One of several VMs appends the snapshot, under the same version
    Given a log
    And a VM "vm-1"
    And a VM "vm-2"
    And a VM "vm-3"
    And an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And version 1 is in force at "vm-2"
    And version 1 is in force at "vm-3"
    And "vm-1, vm-2, vm-3" republish snapshots
    When the due snapshot is appended
    And 60 seconds pass in steps
    Then the log holds 1 snapshots of version 1
    And 1200 seconds pass in steps
    And the log holds 2 snapshots of version 1

  Scenario: VMs that all believe they are chosen append one snapshot
    Guards against one snapshot for each VM when their lists of live VMs
    differ.
    Given a log
    And a VM "vm-1"
    And a VM "vm-2"
    And an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And version 1 is in force at "vm-2"
    And "vm-1, vm-2" each choose themselves for snapshots
    When the due snapshot is appended
    And 30 seconds pass in steps
    Then the log holds 1 snapshots of version 1

  Scenario: A VM that is not chosen appends nothing
    Given a log
    And a VM "vm-1"
    And an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And "vm-1" republishes snapshots while another VM is chosen
    When 25 seconds pass in steps
    Then the log holds 0 snapshots of version 1

  Scenario: Another VM appends the snapshot when the chosen one has failed
    Given a log
    And a VM "vm-1"
    And an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And "vm-1" republishes snapshots while "vm-8, vm-9" are listed but dead
    When the due snapshot is appended
    Then the log holds 1 snapshots of version 1

  Scenario: A snapshot that arrives late does not count as new
    Guards against a snapshot that was appended recently but depends on
    records that the log is about to delete.
    Given a log
    And a VM "vm-1"
    And an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And a snapshot of "vm-1" is delayed
    And the record "text" is appended
    And the clock advances by 1201 seconds
    And the delayed snapshot is appended
    And "vm-1" reads the log to its end
    And "vm-1" republishes snapshots
    When the due snapshot is appended
    Then the log holds 2 snapshots of version 1

  Scenario Outline: A snapshot that a publication overtakes counts if it is valid
    Guards against another snapshot for each publication, and against a
    malformed one that is taken for the newest.
    Given a log
    And a VM "vm-1"
    And an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And a snapshot of "vm-1" with <digest> digest is delayed
    And an operator publishes a deployment with 2 workspaces from 1
    And the delayed snapshot is appended
    And "vm-1" reads the log to its end
    And "vm-1" republishes snapshots
    When 60 seconds pass in steps
    Then the log holds <count> snapshots

    Examples:
      | digest    | count |
      | a correct | 1     |
      | a wrong   | 2     |

  Scenario: Changes of items stay small
    Guards against publications that grow with the deployment. 4,800 a day
    must use far less than the 10 KB/s that a VM has for control traffic.
    Given a deployment with 10000 workspaces
    When one target is drained and one workspace is changed
    Then each publication is smaller than 1024 bytes
    And 4800 publications a day are less than 100 bytes a second
