Feature: The fleet never exceeds the weight store's rate
  Guards against VMs that each stay below the rate but together exceed it,
  and against fetches that are lost when the store or the log fails.

  Scenario Outline: Several VMs fetch at once
    Given 3 VMs and a weight store that allows 1 fetch a second
    And <fault>
    When each VM fetches 4 models at once
    Then 12 fetches were allowed and none exceeded the rate

    Examples:
      | fault                                           |
      | nothing fails                                   |
      | the permits' log loses the next 3 replies       |
      | the permits' log is down for the first second   |
      | the store is down for the first 20 seconds      |
      | the store refuses the first 3 fetches           |
      | a malformed permit is in the log                |

  Scenario: A VM that was paused does not use its old permit
    Given 2 VMs and a weight store that allows 1 fetch a second
    When a VM is paused with a permit and resumes 20 seconds later
    Then its fetch uses a new permit and none exceeded the rate

  Scenario: A fetch that is no longer wanted ends
    Given 1 VMs and a weight store that allows 1 fetch a second
    And the store is down
    When a waiting fetch is cancelled
    Then the fetch ends without the weights

  Scenario: A permit too far in the future is not granted
    Given a schedule of one fetch in 10 seconds with 30 permits reserved
    Then the next permit waits 300 seconds, and then there is none
