Feature: A VM uses a subset of the engines of a large fleet
  Guards against control traffic that grows with the fleet, and against
  engines that no VM uses.

  Scenario: A VM uses all engines of a small deployment
    Given 12 engines of 2 models in 3 data centres
    Then "vm-1" uses 12 engines

  Scenario: The VMs use different subsets of a large deployment
    Given 4300 engines of 27 models in 19 data centres
    Then "vm-1" uses at most 108 engines and 4 of each model at least
    And 370 VMs together use every engine
    And the engines of its own data centre come first

  Scenario: Removing an engine changes few assignments
    Given 4300 engines of 27 models in 19 data centres
    When an engine of "vm-1" is removed
    Then "vm-1" uses at most 1 new engine

  Scenario: A leaving engine is retained and another one added
    Given 4300 engines of 27 models in 19 data centres
    When an engine of "vm-1" starts leaving
    Then "vm-1" uses that engine and 1 engine more than before
