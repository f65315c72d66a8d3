Feature: The VM list is polled, and failed polls keep the previous list
  Guards against the loss of VMs that are already known when the list lags,
  fails or is malformed.

  Background:
    Given a VM list with "engine-1" live
    And a follower that has polled once

  Scenario Outline: A fault leaves the last list in place
    Given the VM list has fault "<fault>" set to "<value>"
    When the follower polls
    Then its status is "<status>" with 1 VM

    Examples:
      | fault        | value | status   |
      | outage       | true  | Outdated |
      | lost_replies | 1     | Outdated |
      | garbage      | true  | Outdated |
      | lag_seconds  | 30    | Outdated |

  Scenario: A list that is readable again after an outage is current
    Given the VM list has fault "outage" set to "true"
    And the follower polls
    And the VM list has fault "outage" set to "false"
    When the follower polls
    Then its status is "Current" with 1 VM

  Scenario: A lag delays what the list shows
    Given the VM list has fault "lag_seconds" set to "5"
    And 10 s pass
    And "engine-1" is leaving in the list
    When the follower polls
    Then the list shows "engine-1" as "live"
    When 6 s pass
    And the follower polls
    Then the list shows "engine-1" as "leaving"

  Scenario: One malformed VM entry does not hide the others
    Given the list has a VM without a state
    When the follower polls
    Then its status is "Current" with 1 VM

  Scenario Outline: The time between polls follows the size of the list
    Then a list of <bytes> bytes is polled after <least> to <most> s

    Examples:
      | bytes  | least | most |
      | 3000   | 0.8   | 1.2  |
      | 561000 | 149.6 | 224.4 |
