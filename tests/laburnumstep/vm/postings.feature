Feature: A posting runs at most once and its outcome is reported correctly
  Guards against postings that run twice when VMs fail, replies are lost or
  the platform's log is unavailable, and against a wrong "not run".

  Scenario: The VM fails between the claim and the reply
    Given VMs "vm-1" and "vm-2"
    When "post" is sent through "vm-1" and delayed by the service
    And "vm-1" gets SIGKILL
    And "post" is sent again through "vm-2"
    Then the caller receives outcome "unknown"
    When the service continues
    And "post" is sent again through "vm-2"
    Then the caller receives outcome "unknown"
    And the operation had 1 effects

  Scenario: The VM fails, and the service answers outcome queries
    Given VMs "vm-1" and "vm-2"
    And the service loses 1 replies after the effect
    When "query_post" is sent through "vm-1"
    Then the caller receives outcome "ran"
    When "vm-1" gets SIGKILL
    And "query_post" is sent again through "vm-2"
    Then the caller receives outcome "ran"
    And the operation had 1 effects

  Scenario: The reply is lost after the effect
    Given VMs "vm-1" and "vm-2"
    And the service loses 1 replies after the effect
    When "post" is sent through "vm-1"
    Then the caller receives outcome "unknown"
    When "post" is sent again through "vm-2"
    Then the caller receives outcome "unknown"
    And the operation had 1 effects

  Scenario: Two VMs get the same key at the same time
    Given VMs "vm-1" and "vm-2"
    When "post" is sent through "vm-1" and "vm-2" at the same time
    Then at least one caller receives outcome "ran"
    And the operation had 1 effects

  # The limit is far below what a slow machine sends, so that it is exceeded
  # on any.
  Scenario: Keys are sent through two VMs beyond the workspace's limit
    Given VMs "vm-1" and "vm-2"
    And the workspace may send 20 requests a second
    When 500 keys of "post" are each sent through both VMs, 20 at a time
    Then some callers are refused with "limit_exceeded"
    And no caller receives "not_run" for a key that had an effect
    And no key had 2 effects

  Scenario: The log is down
    Given VMs "vm-1" and "vm-2"
    And the log has an outage
    When "post" is sent through "vm-1"
    Then the caller receives outcome "not_run"
    And the operation had 0 effects
    When "roster" is sent through "vm-1"
    Then the caller receives outcome "ran"

  Scenario: A frozen VM resumes after its key was sent through another VM
    Given VMs "vm-1" and "vm-2"
    When "post" is sent through "vm-1" and delayed by the service
    And "vm-1" gets SIGSTOP
    And "post" is sent again through "vm-2"
    Then the caller receives outcome "unknown"
    When "vm-1" gets SIGCONT
    And the service continues
    Then the operation had 1 effects after the first send ends
