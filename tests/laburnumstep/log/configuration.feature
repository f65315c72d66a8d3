Feature: Every VM follows the same configuration
  Guards against VMs with different versions in force, and against the loss
  of a version that was accepted.

  Background:
    Given a log
    And a VM "vm-1"

  Scenario: A published configuration reaches a VM
    When an operator publishes a deployment with 1 workspaces from 0
    Then version 1 is in force at "vm-1"
    And "vm-1" has 1 workspaces

  Scenario: Consecutive versions reach a VM as changes of items
    When an operator publishes a deployment with 3 workspaces from 0
    And an operator publishes a deployment with 2 workspaces from 1
    Then version 2 is in force at "vm-1"
    And "vm-1" has 2 workspaces

  Scenario Outline: A record that does not follow the last version is skipped
    Guards against a malformed or late record that changes the configuration
    or prevents the following records from being applied.
    Given an operator publishes a deployment with 1 workspaces from 0
    And the record <record> is appended
    When an operator publishes a deployment with 4 workspaces from 1
    Then version 2 is in force at "vm-1"
    And "vm-1" has 4 workspaces

    Examples:
      | record                                                                                                                                    |
      | {"type": "publication", "deployment": "cuadrilla", "version": 1, "made_from": 0, "nonce": "n", "changes": []}                             |
      | {"type": "publication", "deployment": "cuadrilla", "version": 3, "made_from": 2, "nonce": "n", "changes": []}                             |
      | {"type": "publication", "deployment": "cuadrilla", "version": 5, "made_from": 1, "nonce": "n", "changes": []}                             |
      | {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 0, "nonce": "n", "changes": []}                             |
      | {"type": "publication", "deployment": "omake", "version": 2, "made_from": 1, "nonce": "n", "changes": []}                                 |
      | {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 1, "nonce": "n", "changes": [{"change": "put_moon"}]}       |
      | {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 1, "nonce": "n", "changes": [{"change": ["put_place"]}]}    |
      | {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 1, "nonce": "n", "changes": [{"change": "remove_target"}]}  |
      | {"type": "publication", "deployment": "cuadrilla", "version": true, "made_from": 1, "nonce": "n", "changes": []}                          |
      | {"type": "publication", "deployment": "cuadrilla", "version": 2, "made_from": 1, "changes": []}                                           |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": 0, "deployment": {"name": "cuadrilla"}}                                      |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": -1, "deployment": {"name": "cuadrilla"}}                                     |
      | {"type": "snapshot", "version": 9, "digest": "d", "through": -1, "deployment": 7}                                                         |
      | {"type": "proposal"}                                                                                                                      |
      | {"type": ["snapshot"]}                                                                                                                    |
      | null                                                                                                                                      |
      | "text"                                                                                                                                    |
      | []                                                                                                                                        |

  Scenario: A sibling sends the configuration while the log is down
    Given an operator publishes a deployment with 1 workspaces from 0
    And version 1 is in force at "vm-1"
    And the log has an outage
    And a VM "vm-2"
    When "vm-2" adopts the configuration of "vm-1"
    Then version 1 is in force at "vm-2"

  Scenario Outline: A sibling's configuration is refused
    Guards against a sibling that sends an older or corrupt configuration.
    Given an operator publishes a deployment with 1 workspaces from 0
    And an operator publishes a deployment with 2 workspaces from 1
    And version 2 is in force at "vm-1"
    When "vm-1" is offered version <version> through <through> with <digest> digest
    Then the offer is refused
    And version 2 is in force at "vm-1"

    Examples:
      | version | through | digest     |
      | 1       | 0       | a correct  |
      | 2       | 5       | a correct  |
      | 3       | 5       | a wrong    |
      | 3       | 0       | a correct  |
