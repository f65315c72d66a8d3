Feature: Answer lengths are estimated from observed lengths
  Guards against wrong length estimates: estimates that are too short cause
  preemptions, and estimates that are too long leave engines idle.

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

  Scenario: The lengths of a workspace outweigh those of the model
    Given 500 answers of 1000 tokens by workspace plans
    And 500 answers of 5 tokens by workspace questions
    Then workspace plans expects 1000 tokens within 10%
    And workspace questions expects 5 tokens within 200%
    And an unknown workspace expects between 100 and 900 tokens

  Scenario: The estimate adapts to a change of lengths
    Given 5000 answers of 1000 tokens by workspace plans
    And 4000 answers of 50 tokens by workspace plans
    Then workspace plans expects 50 tokens within 500%

  Scenario: Merged sketches of two VMs equal the observations of one VM
    Given 400 answers of 1000 tokens by workspace plans
    And 400 answers of 10 tokens by workspace plans on a sibling
    When the sibling's changes are encoded, sent and merged
    Then workspace plans expects 505 tokens within 10%
    And the encoded changes are at most 300 bytes
    And the sibling has no further changes

  Scenario Outline: Bytes that do not encode a sketch are refused
    When the bytes <bytes> are decoded as a sketch
    Then a ValueError is raised

    Examples:
      | bytes          |
      | 00             |
      | ff010000000000 |
      | 000100000000c0 |
      | 0001000000c07f |
