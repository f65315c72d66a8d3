Feature: VMs on the platform follow a store that comes back older
  Guards against configurations that are confirmed and never come into force,
  because they stand at offsets which a VM has read before.

  Background:
    Given a VM on the platform with one server

  # Guards against a VM that goes on at an offset of an earlier epoch: it exists
  # again, after other records.
  @known_red
  Scenario: A version that is written before the offset of a VM comes into force
    Given versions 2, 3 and 4 of the configuration are in force
    When the store comes back with version 1 and versions 5 and 6 are written up to the same offset
    Then version 6 of the configuration comes into force

  # Guards against a configuration that goes back with the store.
  @known_red
  Scenario: A version in force outlasts a store that has lost it
    Given versions 2, 3 and 4 of the configuration are in force
    When the store comes back with version 1 and nothing is written
    Then version 4 of the configuration is still in force
