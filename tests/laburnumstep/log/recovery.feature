Feature: The configuration survives failures of the log
  Guards against VMs that return to an older version, diverge or never
  become ready when the log deletes, loses or repeats records, or when it
  does not answer.

  Background:
    Given a log
    And a VM "vm-1"

  Scenario: A VM without state starts from a snapshot and the records after it
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And "vm-1" appends a snapshot of its configuration
    And an operator publishes a deployment with 5 workspaces from 1
    And the log drops the first 1 records
    When a VM "vm-2" starts
    Then version 2 is in force at "vm-2"
    And "vm-2" has 5 workspaces

  Scenario: A VM without state replays records that precede a late snapshot
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And a snapshot of "vm-1" is delayed
    And an operator publishes a deployment with 5 workspaces from 1
    And the delayed snapshot is appended
    And the log drops the first 1 records
    When a VM "vm-2" starts
    Then version 2 is in force at "vm-2"

  Scenario: A publication that lost to a dropped one is never accepted
    Guards against a forked history. The accepted publication of version 2
    is no longer retained but the refused one is, and a late snapshot
    contains version 1.
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And a snapshot of "vm-1" is delayed
    And an operator publishes a deployment with 5 workspaces from 1
    And version 2 is in force at "vm-1"
    And the delayed snapshot is appended
    And the record {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 1, "nonce": "loser", "changes": []} is appended
    And the log drops the first 2 records
    When a VM "vm-2" starts
    Then "vm-2" reads the log to its end
    And no configuration is in force at "vm-2"
    And "vm-1" appends a snapshot of its configuration
    And version 2 is in force at "vm-2"
    And "vm-2" has 5 workspaces

  Scenario: A first publication is not repeated on a log that dropped its oldest records
    Given an operator publishes a deployment with 1 workspaces from 0
    And the record {"type": "publication", "deployment": "cuadrilla", "version": 1, "made_from": 0, "nonce": "loser", "changes": []} is appended
    And the log drops the first 1 records
    When a VM "vm-2" starts
    Then "vm-2" reads the log to its end
    And no configuration is in force at "vm-2"

  Scenario: A VM that missed dropped records adopts a sibling's configuration
    Given an operator publishes a deployment with 1 workspaces from 0
    And the log drops the first 1 records
    And a VM "vm-2"
    And "vm-2" reads the log to its end
    And version 1 is in force at "vm-1"
    When "vm-2" adopts the configuration of "vm-1"
    And an operator with the configuration of "vm-1" publishes 7 workspaces from 1
    Then version 2 is in force at "vm-2"

  Scenario Outline: A VM without state skips an invalid snapshot
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And the record <record> is appended
    And "vm-1" appends a snapshot of its configuration
    And the log drops the first 1 records
    When a VM "vm-2" starts
    Then version 1 is in force at "vm-2"

    Examples:
      | record                                                                                                |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": 0, "deployment": {"name": "cuadrilla"}}  |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": 0, "deployment": null}                   |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": 7, "deployment": {"name": "cuadrilla"}}  |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": -1, "deployment": {"name": "cuadrilla"}} |
      | {"type": "snapshot", "version": 9, "through": 0}                                                      |

  Scenario: Publications reach a VM after an outage of the log
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And the log has an outage and a read of "vm-1" has failed
    When the outage ends
    And an operator publishes a deployment with 2 workspaces from 1
    And the clock advances by 2 seconds
    Then version 2 is in force at "vm-1"

  Scenario Outline: A publication whose reply is lost is recognised
    Guards against a failure, or a conflict with the same publication, that
    is reported to the operator although the publication is in force.
    Given the next <count> replies to appends are lost
    When an operator publishes while time advances in steps
    Then the publication is in force as version 1
    And the log holds <records> records

    Examples:
      | count | records |
      | 0     | 1       |
      | 1     | 1       |

  Scenario: An operator whose publication came second gets a conflict error
    Given an operator publishes a deployment with 1 workspaces from 0
    And reads of the log lag behind
    When two operators publish from 1 at once
    Then one publication is in force with version 2
    And the other operator receives a conflict with version 2

  Scenario Outline: The configuration is restored to a log that lost records
    Given an operator publishes a deployment with 1 workspaces from 0
    And an operator publishes a deployment with 5 workspaces from 1
    And version 2 is in force at "vm-1"
    And the log loses the records from <end> on
    And "vm-1" republishes snapshots
    When the due snapshot is appended
    And a VM "vm-2" starts
    Then version 2 is in force at "vm-2"
    And version 2 is in force at "vm-1"
    And "vm-2" has 5 workspaces
    And an operator publishes a deployment with 6 workspaces from 2
    And version 3 is in force at "vm-1"
    And version 3 is in force at "vm-2"

    Examples:
      | end |
      | 0   |
      | 1   |

  Scenario: A version that the log assigned to another publication is replaced
    Guards against VMs that keep different configurations under the same
    version number.
    Given an operator publishes a deployment with 1 workspaces from 0
    And an operator publishes a deployment with 5 workspaces from 1
    And version 2 is in force at "vm-1"
    And the log loses the records from 1 on
    When an operator publishes a deployment with 7 workspaces from 1
    Then another configuration is in force at "vm-1"
    And version 2 is in force at "vm-1"
    And "vm-1" has 7 workspaces

  Scenario: A VM that adopts a sibling's version ahead of lagging reads stays consistent
    Guards against lagging reads that are mistaken for lost records.
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And a VM "vm-2"
    And version 1 is in force at "vm-2"
    And reads of the log lag behind
    When "vm-2" adopts version 2 with 5 workspaces through 1
    And "vm-2" reads the lagging log again
    Then version 2 is in force at "vm-2" through 1

  Scenario: A VM whose state contradicts a snapshot replays the log
    Guards against a VM that never leaves a wrong history.
    Given an operator publishes a deployment with 1 workspaces from 0
    And an operator publishes a deployment with 5 workspaces from 1
    And version 2 is in force at "vm-1"
    And a VM "vm-2" that adopted version 1 with 1 workspaces through 1
    When "vm-1" appends a snapshot of its configuration
    Then version 2 is in force at "vm-2"

  Scenario: Operators start a new history when no VM knows the configuration
    Guards against a deployment that can never be configured again after
    the configuration was lost in the log and on all VMs.
    Given an operator publishes a deployment with 1 workspaces from 0
    And the log drops the first 1 records
    And a VM "vm-2"
    And "vm-2" reads the log to its end
    When an operator starts a new history at version 2 with 3 workspaces
    Then version 2 is in force at "vm-2"
    And version 2 is in force at "vm-1"
    And an operator publishes a deployment with 4 workspaces from 2
    And version 3 is in force at "vm-1"
    And version 3 is in force at "vm-2"

  Scenario: No new history starts while the log contains the version
    Given an operator publishes a deployment with 1 workspaces from 0
    When an operator starts a new history at version 8 with 3 workspaces
    Then the operator receives a conflict with version 1

  Scenario: A read that is never answered times out
    Guards against a VM that waits on a dead connection while other VMs put
    new versions in force. The timeouts use the system clock.
    Given an operator publishes a deployment with 1 workspaces from 0
    And the next 1 reads are never answered
    When a VM "vm-2" starts with the system clock
    Then version 1 is in force at "vm-2"

  Scenario: A lost reply followed by an outage
    Given the next 1 replies to appends are lost
    And the log has an outage after the next append
    When an operator publishes while time advances in steps
    Then the publication is in force as version 1
    And the log holds 1 records

  Scenario: A sibling sends a version while a VM reads a large page
    Guards against a page replayed in a thread that overwrites a
    configuration adopted meanwhile. That configuration already includes
    the record at offset 2.
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And "vm-1" adopts version 3 through 2 while it reads version 2
    And the record "text" is appended
    When an operator with the configuration of "vm-1" publishes 900 workspaces from 3
    Then version 4 is in force at "vm-1"
    And "vm-1" has 900 workspaces

  # Guards against a VM that misses a version, because the log has come back
  # older and grown again to where the VM goes on to read.
  Scenario: A log that has come back older and grown again is read anew
    Given an operator publishes a deployment with 1 workspaces from 0
    And an operator publishes a deployment with 5 workspaces from 1
    And version 2 is in force at "vm-1"
    When the log comes back with 1 records and the record {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 1, "nonce": "other", "changes": []} is appended at once
    Then another configuration is in force at "vm-1"
    And version 2 is in force at "vm-1"
    And "vm-1" has 1 workspaces
