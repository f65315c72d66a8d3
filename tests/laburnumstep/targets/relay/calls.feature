Feature: Requests with one answer are sent to targets until one answers
  Guards against operations that run twice, and against reporting "not run"
  for a request that may have run.

  Scenario Outline: What a target does decides whether another one is asked
    Given a <kind> request with <attempts> attempts
    And target "a" replies <first>
    And target "b" replies <second>
    When the request is relayed
    Then the request was sent to targets "<asked>"
    And the caller receives <answer>

    Examples: idempotent requests
      | kind       | attempts | first       | second      | asked | answer                             |
      | idempotent | 2        | status 200  | status 200  | a     | status 200                         |
      | idempotent | 2        | status 404  | status 200  | a     | status 404                         |
      | idempotent | 2        | status 500  | status 200  | a,b   | status 200                         |
      | idempotent | 2        | status 500  | status 500  | a,b   | status 500                         |
      | idempotent | 1        | status 500  | status 200  | a     | status 500                         |
      | idempotent | 2        | lost        | status 200  | a,b   | status 200                         |
      | idempotent | 2        | lost        | lost        | a,b   | error target_failed unknown        |
      | idempotent | 3        | lost        | not run     | a,b   | error no_target unknown            |
      | idempotent | 3        | lost        | not reached | a,b   | error no_target unknown            |
      | idempotent | 2        | not run     | status 200  | a,b   | status 200                         |
      | idempotent | 2        | not reached | not reached | a,b   | error no_target not_run            |

    Examples: requests that run at most once
      | kind | attempts | first       | second      | asked | answer                             |
      | once | 1        | status 200  | status 200  | a     | status 200                         |
      | once | 2        | status 500  | status 200  | a     | status 500                         |
      | once | 2        | lost        | status 200  | a     | error outcome_unknown unknown      |
      | once | 1        | lost        | status 200  | a     | error target_failed unknown        |
      | once | 2        | not run     | status 200  | a,b   | status 200                         |
      | once | 2        | not reached | not run     | a,b   | error no_target not_run            |

    Examples: targets that have used up their limit
      | kind       | attempts | first       | second      | asked | answer                             |
      | idempotent | 1        | held        | status 200  | a,b   | status 200                         |
      | once       | 1        | held        | status 200  | a,b   | status 200                         |
      | once       | 1        | held        | lost        | a,b   | error target_failed unknown        |
      | once       | 1        | held        | held        | a,b   | error no_target not_run            |
      | idempotent | 2        | status 500  | held        | a,b   | status 500                         |
      | idempotent | 2        | lost        | held        | a,b   | error no_target unknown            |

    Examples: targets where the request may no longer run
      | kind       | attempts | first       | second      | asked | answer                             |
      | once       | 1        | barred      | status 200  | a,b   | status 200                         |
      | once       | 1        | barred      | lost        | a,b   | error target_failed unknown        |
      | once       | 1        | barred      | barred      | a,b   | error no_target not_run            |
      | idempotent | 2        | lost        | barred      | a,b   | error no_target unknown            |

  # Guards against a request that is counted as sent, or sent again, because a
  # target takes no more for now.
  Scenario: A target that has used up its limit costs no retry
    Given a once request with 1 attempts
    And target "a" replies held
    And target "b" replies status 200
    When the request is relayed
    Then 1 requests and 0 retries were counted
    And each placement was released once

  # Guards against crashes that the crash monitor is not told of, and against
  # connections that it opens although no target has closed one.
  Scenario Outline: A target that closes the connection may have crashed
    Given a <kind> request with 2 attempts
    And target "a" replies <reply>
    And target "b" replies status 200
    When the request is relayed
    Then <breaks> placements recorded a break

    Examples:
      | kind       | reply         | breaks |
      | idempotent | lost          | 0      |
      | idempotent | lost, closed  | 1      |
      | once       | lost, closed  | 1      |
      | resumable  | lost, closed  | 1      |
      | single     | lost, closed  | 1      |
      | idempotent | status 500    | 0      |
      | idempotent | not run       | 0      |
      | idempotent | not reached   | 0      |

  Scenario: A request that fails past its deadline is reported as exceeding it
    Given a once request with 1 attempts
    And target "a" replies lost
    And the deadline passes while target "a" handles the request
    When the request is relayed
    Then the caller receives error deadline_exceeded unknown

  Scenario: An idempotent request reserves half of its time for another target
    Given a idempotent request with 2 attempts
    And target "a" replies lost
    And target "b" replies status 200
    When the request is relayed
    Then the deadlines of the attempts are in 5 and 10 s

  Scenario: Each placement is released once
    Given a idempotent request with 2 attempts
    And target "a" replies lost
    And target "b" replies status 200
    When the request is relayed
    Then each placement was released once
