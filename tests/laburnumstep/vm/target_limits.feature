Feature: Targets get no more requests than they take through the product's front
  Guards against a server in need that gets far more requests than the limit
  which it names in its answers.

  # Guards against VMs that each bound only their own requests: at 0.1 requests
  # a second the sixth is due a minute after the first.
  Scenario Outline: A service that names a limit gets few operations
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    And the service names a limit of 0.1 requests a second
    When 20 operations "<operation>" are sent through "vm-1" and "vm-2" in turn
    Then at most 5 of them ran
    And the others were refused as <outcome>

    Examples:
      | operation | outcome          |
      | roster    | not run or later |
      | post      | not run or later |

  Scenario: An engine that names a limit gets few generations
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    And every engine names a limit of 0.1 requests a second
    When 16 generations with a deadline in 1 seconds are requested through "vm-1" and "vm-2" in turn
    Then at most 12 of them started
