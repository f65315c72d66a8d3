Feature: The holder of a lease brings engines to the declared state
  Guards against engines that keep an old model version, and against
  requests to the weight store above the rate limit of the fleet.

  Scenario: Engines are declared with another version
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    When every engine is declared to run version "2"
    Then every engine reports version "2"
    And weights were fetched once for each engine, within the rate limit
