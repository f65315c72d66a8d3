Feature: Refusals of requests that crash targets outlast a restart of all VMs
  Guards against parts that crash further targets after each restart, as no VM
  remembers them.

  Scenario: A VM without siblings refuses what the store remembers
    Given VM "a" that keeps its crash reports in the store
    When two targets crash with "f dead" on VM "a"
    Then the store holds 2 crash reports
    When all VMs end and VM "b" starts
    Then VM "b" refuses "f dead" and accepts "f"

  Scenario: Crashes that explain no refusal are not stored
    Given VM "a" that keeps its crash reports in the store
    When a target crashes with "f x" on VM "a"
    Then the store holds 0 crash reports

  # Guards against a wrong refusal that comes back with each restart.
  Scenario: What a target survives is removed from the store
    Given VM "a" that keeps its crash reports in the store
    When two targets crash with "dead" on VM "a"
    Then the store holds 2 crash reports
    When a target survives "dead" on VM "a"
    Then the store holds 0 crash reports

  Scenario: Reports are stored when the store is back
    Given VM "a" that keeps its crash reports in the store
    And the store fails 3 calls
    When two targets crash with "f dead" on VM "a"
    Then the store holds 2 crash reports

  Scenario: Only the owner of a report stores it
    Given VM "a" that owns no report
    When two targets crash with "f dead" on VM "a"
    Then the store holds 0 crash reports

  Scenario: Malformed records in the store are ignored
    Given the store holds the record "broken"
    And VM "b" that keeps its crash reports in the store
    When two targets crash with "f dead" on VM "b"
    Then VM "b" refuses "f dead" and accepts "f"
    And the store holds 2 crash reports

  # Guards against reports that are gone for good, because a VM takes them for
  # stored after the store has come back from a copy without them.
  Scenario: Reports that the store has lost are stored again
    Given VM "a" that keeps its crash reports in the store
    When two targets crash with "f dead" on VM "a"
    And the store comes back without any report
    Then the store holds 2 crash reports
