Feature: Baselines and workload
  Guards against baselines that do not implement the policy that they are
  named after, and against requests that differ between policies.

  Scenario: Round robin chooses the targets in turn
    Given 3 targets
    When policy "round_robin" chooses 6 times
    Then each target was chosen 2 times

  Scenario Outline: Least load chooses by the load reports
    Given 3 targets
    And target "target-0" reports <first>
    And target "target-1" reports <second>
    And target "target-2" reports {"kv_used": 99, "kv_total": 100, "waiting": 9}
    When policy "least_load" chooses 5 times
    Then target "<chosen>" was chosen 5 times

    Examples:
      | first                                          | second                                         | chosen   |
      | {"kv_used": 50, "kv_total": 100, "waiting": 0} | {"kv_used": 40, "kv_total": 100, "waiting": 0} | target-1 |
      | {"kv_used": 50, "kv_total": 100, "waiting": 0} | {"kv_used": 40, "kv_total": 100, "waiting": 1} | target-0 |
      | {"kv_used": 50, "kv_total": 100, "waiting": 0} | {"kv_used": 60, "kv_total": 200, "waiting": 0} | target-1 |

  Scenario: Prefix affinity chooses the target with the cached prefix
    Given 3 targets
    And target "target-2" caches the prefix of the request
    When policy "prefix" chooses 5 times
    Then target "target-2" was chosen 5 times

  Scenario: Prefix affinity without cache events sends equal prompts to one target
    Given 3 targets
    When policy "prefix" chooses 5 times
    Then 1 target was chosen

  Scenario Outline: Failed targets are not chosen while others are available
    Given 2 targets
    And target "target-0" is <state>
    When policy "<policy>" chooses 4 times
    Then target "target-1" was chosen 4 times

    Examples:
      | policy      | state       |
      | round_robin | unreachable |
      | round_robin | excluded    |
      | least_load  | unreachable |
      | least_load  | excluded    |
      | prefix      | unreachable |
      | prefix      | excluded    |

  Scenario: Equal seeds generate equal requests
    Then seed 1 generates the same requests twice
    And seeds 1 and 2 generate different requests

  Scenario: Requests arrive at the given rate
    Then seed 1 generates between 900 and 1100 requests at 100 a second in 10 s

  Scenario: Warm-up requests have the remainders of long answers
    When warm-up requests are generated for 30 requests a second
    Then no warm-up answer is longer than the maximum length
    And the warm-up answers are longer than half the mean answer
