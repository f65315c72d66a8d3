Feature: VMs on the platform follow a store that comes back older
  Guards against configurations that are confirmed and never come into force,
  because they stand at offsets which a VM has read before.

  Background:
    Given a VM on the platform with one server

  # Guards against a VM that goes on at an offset of an earlier epoch: it exists
  # again, after other records.
  Scenario: A version that is written before the offset of a VM comes into force
    Given versions 2, 3 and 4 of the configuration are in force
    When the store comes back with version 1 and versions 5 and 6 are written up to the same offset
    Then version 6 of the configuration comes into force

  # Guards against a configuration that goes back with the store.
  Scenario: A version in force outlasts a store that has lost it
    Given versions 2, 3 and 4 of the configuration are in force
    When the store comes back with version 1 and nothing is written
    Then version 4 of the configuration is still in force

  # Guards against a state put together from two epochs, and against answers of
  # a store that no longer exists.
  Scenario Outline: The epoch of each answer of the store is checked
    Given a store that sends "<answers>"
    When the topic is read <read>
    Then the read <result>

    Examples: the newest records; a number is the epoch of an answer, "+" a page with more to come
      | answers   | read              | result                         |
      | 1         | newest            | continues in epoch 1 at 7      |
      | none      | newest            | continues in epoch 0 at 7      |
      | 1+, 1     | newest            | continues in epoch 1 at 7      |
      | 1+, 2     | newest            | fails                          |
      | 2+, 1     | newest            | fails                          |
      | 2, 1      | newest twice      | fails                          |
      | 1, 2      | newest twice      | continues in epoch 2 at 7      |
      | x         | newest            | fails                          |
      | -1        | newest            | fails                          |
      | 1111111111111111 | newest     | fails                          |

    Examples: the records from an offset of epoch 1
      | answers   | read              | result                         |
      | 1         | from offset 7     | continues in epoch 1 at 7      |
      | 2         | from offset 7     | finds another epoch            |
      | 410 2     | from offset 7     | finds another epoch            |
      | 410 1     | from offset 7     | finds its history lost         |
      | 503 2     | from offset 7     | finds another epoch            |
      | none      | from offset 7     | finds another epoch            |
