Feature: Failed requests are retried only if it is safe
  Guards against requests that run twice, against retries that amplify an
  overload, and against requests that crash one target after another.

  Scenario Outline: The decision on a request whose target failed
    Given a <kind> whose target failed with outcome <outcome>
    And <delivered> tokens delivered, the deadline <left> seconds away
    And a retry budget with <retries> retries left
    When the retry is decided
    Then the decision is <decision>

    Examples:
      | kind       | outcome | delivered | left | retries | decision                       |
      | generation | ran     | 0         | 5    | 1       | retry                          |
      | generation | unknown | 0         | 5    | 1       | retry                          |
      | generation | ran     | 3         | 5    | 1       | generation_lost, resend        |
      | generation | ran     | 0         | 0    | 1       | deadline_exceeded, resend      |
      | generation | ran     | 0         | -1   | 1       | deadline_exceeded, resend      |
      | generation | not_run | 0         | 5    | 0       | target_failed, resend          |
      | posting    | not_run | 0         | 5    | 1       | retry                          |
      | posting    | not_run | 0         | 5    | 0       | target_failed, resend          |
      | posting    | unknown | 0         | 5    | 1       | outcome_unknown, final         |
      | posting    | ran     | 0         | 5    | 1       | outcome_unknown, final         |
      | lookup     | unknown | 0         | 5    | 1       | retry                          |
      | suspect    | ran     | 0         | 5    | 1       | request_crashes_targets, final |

  Scenario: A retry excludes each target that failed
    Given a generation whose target failed with outcome ran
    And a retry budget with 5 retries left
    When it is retried 3 times
    Then it has run on 4 targets, none of them twice

  Scenario: A retry that is not made does not spend the budget
    Given a posting whose target failed with outcome unknown
    And a retry budget with 1 retries left
    When the retry is decided
    Then the budget still has 1 retries

  Scenario Outline: Retries are limited to a fraction of the load
    Given <requests> requests in the last minute
    When 1000 retries are requested at once
    Then <retries> are allowed
    And 61 seconds later none is allowed

    Examples:
      | requests | retries |
      | 0        | 0       |
      | 1        | 1       |
      | 100      | 10      |
      | 1000     | 100     |

  Scenario: Only the load of the last minute counts
    Given 1000 requests in the last minute
    Then 61 seconds later none is allowed
    When 1000 retries are requested at once, 61 seconds later, after 100 requests
    Then 10 are allowed

  Scenario: A request that crashes targets is refused after two
    Given a request that crashes each target, and 8 healthy ones
    When all run on the same engine of 4, and suspects are retried separately
    Then 2 engines have crashed
    And only the crashing request is refused

  Scenario: Crashes that one request explains do not count for the others
    Given a target crashed with bad and first
    Then bad and first are suspects, and none is refused
    When another target crashes with bad and second
    Then bad is refused, and first and second are no suspects

  Scenario: Crashes observed by other VMs count once for each target
    Given a crash of a request on target a, observed here and by a sibling
    Then the request is not refused
    When the sibling reports a crash on target b
    Then the request is refused
    When 1700 seconds pass and it is sent again
    Then the request is refused
    When 1700 seconds pass and it is sent again
    Then the request is refused
    When 1801 seconds pass and it is sent again
    Then the request is not refused

  Scenario: Fingerprints distinguish workspaces and requests
    Then requests with another workspace, model or prompt have other fingerprints
    And calls with another order of the payload's keys have the same fingerprint

  Scenario: Before a reclaim, requests with the least progress move first
    Given an engine with sends of 0, 200, 90 and 10 tokens of 100 at 0.1 seconds a token
    When it is to be reclaimed in 5 seconds
    Then the sends to move have 0 and 10 tokens, in this order
