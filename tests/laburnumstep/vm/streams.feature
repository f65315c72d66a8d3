Feature: Streams survive the failure of entry VMs
  Guards against answers that lose or repeat tokens, or end early, when the
  VM that relays them is killed, suspended or stopped.

  Scenario Outline: The VM that relays a stream fails
    Given VMs "vm-1" and "vm-2" and answers of 200 tokens
    When a caller of "vm-1" and then "vm-2" reads a stream
    And "vm-1" gets <signal> at token 40
    And at the same time: <more>
    Then the answer is complete, with each token once and in order
    And it was resumed <times> times
    And one generation was started

    Examples:
      | signal  | times | more       |
      | SIGKILL | 1     | nothing    |
      | SIGTERM | 0     | nothing    |
      | SIGKILL | 1     | log outage |

  Scenario: A frozen VM resumes after its caller continued on another VM
    Given VMs "vm-1" and "vm-2" and answers of 200 tokens
    When a caller of "vm-1" and then "vm-2" reads a stream
    And "vm-1" gets SIGSTOP at token 40
    And the caller resumes through "vm-2"
    And "vm-1" gets SIGCONT
    Then the answer is complete, with each token once and in order
    And one generation was started

  Scenario: On a planned stop a VM completes every stream and then exits
    Given VMs "vm-1" and "vm-2" and answers of 200 tokens
    When a caller of "vm-1" reads a stream
    And "vm-1" gets SIGTERM at token 40
    Then "vm-1" is not ready
    And the answer is complete, with each token once and in order
    And "vm-1" ends with status 0
