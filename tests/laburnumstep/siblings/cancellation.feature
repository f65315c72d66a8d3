Feature: A call to a silent sibling can be given up
  Guards against gRPC's own cancellation, which once ended the task that
  served a claim partition, and every later posting of that partition with
  it.

  Scenario Outline: A call is given up and its task goes on
    Given a sibling that accepts connections and never answers
    When a task <call> and gives up after a moment
    Then the task goes on and so does its task group

    Examples:
      | call                      |
      | forwards claims           |
      | fetches the configuration |
