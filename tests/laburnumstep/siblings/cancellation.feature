Feature: A call to a sibling that does not answer can be cancelled
  Guards against the cancellation error that gRPC raises in place of the one
  of the scope. It ended the task that served a claim partition, so that all
  later postings of that partition failed.

  Scenario Outline: A call is cancelled and its task continues
    Given a sibling that accepts connections and never answers
    When a task <call> with a time limit that expires
    Then the task and its task group continue

    Examples:
      | call                      |
      | forwards claims           |
      | fetches the configuration |
