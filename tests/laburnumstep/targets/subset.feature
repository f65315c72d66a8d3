Feature: A VM uses a part of a large fleet of engines
  Guards against control traffic that grows with the fleet, and against
  engines that no VM uses.

  Scenario: A small deployment is used whole
    Given 12 engines of 2 models in 3 data centres
    Then "vm-1" uses 12 engines

  Scenario: A large deployment is shared out among the VMs
    Given 4300 engines of 27 models in 19 data centres
    Then "vm-1" uses at most 108 engines and 4 of each model at least
    And 370 VMs together use every engine
    And the engines of its own data centre come first

  Scenario: An engine that leaves changes little
    Given 4300 engines of 27 models in 19 data centres
    When an engine of "vm-1" is removed
    Then "vm-1" uses at most 1 other engine than before

  Scenario: An engine that leaves is kept and another one used beside it
    Given 4300 engines of 27 models in 19 data centres
    When an engine of "vm-1" begins to leave
    Then "vm-1" uses that engine still and 1 other engine than before
