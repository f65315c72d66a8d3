Feature: Engines reach the declared state under one lease
  Guards against engines that keep an old model version, and against a
  weight store that is asked beyond the fleet's rate.

  Scenario: Engines are declared with another version
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    When every engine is declared with version "2"
    Then every engine reports version "2"
    And the weight store was asked once for each engine and never too early
