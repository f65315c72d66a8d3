Feature: Lengths of answers are learned without an oracle
  Guards against memory that is planned for the wrong lengths: too short
  causes preemptions, too long leaves engines idle.

  Scenario Outline: The expected remaining length converges to the true mean
    Given 3000 answers drawn from <distribution>, seed <seed>
    Then at <so_far> tokens the expected remaining length is within 25% of the true mean
    And at <so_far> tokens the 0.7 quantile is within one bucket of the true one

    Examples:
      | distribution            | so_far | seed |
      | log-normal 150 sigma 1  | 0      | 1    |
      | log-normal 150 sigma 1  | 100    | 1    |
      | log-normal 150 sigma 1  | 400    | 1    |
      | log-normal 800 sigma 1  | 1000   | 2    |
      | log-normal 6 sigma 0.6  | 0      | 3    |
      | log-normal 6 sigma 0.6  | 6      | 3    |
      | Pareto 50 alpha 2.5     | 0      | 4    |
      | Pareto 50 alpha 2.5     | 100    | 4    |

  Scenario: A workspace's own lengths prevail over the model's
    Given 500 answers of 1000 tokens by workspace plans
    And 500 answers of 5 tokens by workspace questions
    Then workspace plans expects 1000 tokens within 10%
    And workspace questions expects 5 tokens within 200%
    And an unknown workspace expects between 100 and 900 tokens

  Scenario: A change of habits is followed
    Given 5000 answers of 1000 tokens by workspace plans
    And 4000 answers of 50 tokens by workspace plans
    Then workspace plans expects 50 tokens within 500%

  Scenario: Sketches of two VMs merge into what one VM would have learned
    Given 400 answers of 1000 tokens by workspace plans
    And 400 answers of 10 tokens by workspace plans on a sibling
    When the sibling's changes are encoded, sent and merged
    Then workspace plans expects 505 tokens within 10%
    And the encoded changes are at most 300 bytes
    And the sibling has no further changes

  Scenario Outline: Bytes that are no sketch are refused
    When the bytes <bytes> are decoded as a sketch
    Then a ValueError is raised

    Examples:
      | bytes          |
      | 00             |
      | ff010000000000 |
      | 000100000000c0 |
      | 0001000000c07f |
