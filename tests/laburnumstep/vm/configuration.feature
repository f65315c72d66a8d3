Feature: A configuration is in force on every VM and stays in force
  Guards against VMs that miss a configuration while they cannot reach the
  log, or that start without one while the log is unavailable.

  Scenario: A VM without a connection to the log gets versions from its siblings
    Given VMs "vm-1" and "vm-2"
    When "vm-2" loses its connection to the log
    And a configuration with workspace "paita" is published
    Then workspace "paita" is served by "vm-1"
    And workspace "paita" is served by "vm-2"

  Scenario: A VM without state starts while the log is down
    Given VMs "vm-1"
    When a configuration with workspace "paita" is published
    Then workspace "paita" is served by "vm-1"
    When the log has an outage
    And "vm-2" starts without any state
    Then "vm-2" becomes ready
    And workspace "paita" is served by "vm-2"

  Scenario: A VM that cannot read the configuration is not ready
    Given the log has an outage before VMs start
    When "vm-1" starts without any state
    Then "vm-1" is not ready
    When the log is available again
    Then "vm-1" becomes ready

  Scenario: Two operators publish at the same time
    Given VMs "vm-1" and "vm-2"
    When two operators publish workspaces "paita" and "sechura"
    Then one publication is accepted and the other conflicts

  Scenario: The configuration survives the failure of every VM that had it
    Given VMs "vm-1"
    When a configuration with workspace "paita" is published
    Then workspace "paita" is served by "vm-1"
    When "vm-1" gets SIGKILL
    And "vm-2" starts without any state
    Then workspace "paita" is served by "vm-2"
