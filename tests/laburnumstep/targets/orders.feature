Feature: Lease holders order engines to load their declared models
  Guards against engines that flap between the orders of two lease holders,
  against orders that are repeated while an engine is loading, and against
  orders of a VM whose lease has expired.

  Scenario: One order brings an engine to its declared state
    Given ordering VMs "a" and "b" and an engine that checks fencing tokens
    When version "2" is declared at "a" and "b"
    Then the engine eventually reports version "2"
    And after 90 seconds 1 orders were sent

  Scenario: An engine in its declared state receives no order
    Given ordering VMs "a" and "b" and an engine that checks fencing tokens
    When version "1" is declared at "a" and "b"
    Then after 30 seconds 0 orders were sent

  Scenario: No order is sent while the log is down
    Given ordering VMs "a" and "b" and an engine that checks fencing tokens
    And a VM holds the order lease
    When the orders log is down for 40 seconds
    And version "2" is declared at "a" and "b"
    Then after 30 seconds 0 orders were sent
    When the orders log is up again
    Then the engine eventually reports version "2"

  Scenario: A paused holder that resumes sends no order
    Given ordering VMs "a" and "b" and an engine that ignores fencing tokens
    And a VM holds the order lease
    And the weight store is down
    When version "2" is declared at the holder
    And the holder is paused while the other VM takes the lease
    And version "3" is declared at the other VM
    And the weight store is up
    And the holder resumes
    Then the engine eventually reports version "3"
    And after 90 seconds 1 orders were sent

  Scenario: An engine that checks fencing tokens refuses the former lease holder
    Given ordering VMs "a" and "b" and an engine that checks fencing tokens
    And a VM holds the order lease
    When the holder is paused while the other VM takes the lease
    And version "2" is declared at the other VM
    Then the engine eventually reports version "2"
    When the former holder believes for 20 seconds that it holds the lease
    And version "1" is declared at the holder
    And the holder resumes
    Then the engine reports version "2" for 60 seconds

  Scenario: An engine that ignores fencing tokens converges after two holders
    Given ordering VMs "a" and "b" and an engine that ignores fencing tokens
    And a VM holds the order lease
    When the holder is paused while the other VM takes the lease
    And version "2" is declared at the other VM
    Then the engine eventually reports version "2"
    When the former holder believes for 20 seconds that it holds the lease
    And version "1" is declared at the holder
    And the holder resumes
    Then the engine eventually reports version "1"
    And the engine eventually reports version "2"
    And after 90 seconds 3 orders were sent

  Scenario Outline: A fault of the weight store delays an order
    Given ordering VMs "a" and "b" and an engine that checks fencing tokens
    And the weight store <fault>
    When version "2" is declared at "a" and "b"
    Then after 30 seconds 0 orders were sent
    When the weight store is up
    Then the engine eventually reports version "2"
    And no fetch exceeded the store's rate

    Examples:
      | fault                |
      | is down              |
      | refuses 1000 fetches |

  Scenario: An order is not repeated while the engine is loading
    Given ordering VMs "a" and "b" and an engine that loads for 50 seconds
    When version "2" is declared at "a" and "b"
    Then after 45 seconds 1 orders were sent
    And the engine eventually reports version "2"

  Scenario: An engine that does not answer receives the order later
    Given ordering VMs "a" and "b" and an engine that checks fencing tokens
    And the engine refuses connections for orders
    When version "2" is declared at "a" and "b"
    Then the engine eventually reports version "2" once it is reachable
