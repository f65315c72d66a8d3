Feature: Baselines and workload
  Guards against a comparison with baselines that do not do what their name
  says, or on requests that differ from policy to policy.

  Scenario: Round robin takes the targets in turn
    Given 3 targets
    When policy "round_robin" chooses 6 times
    Then each target was chosen 2 times

  Scenario Outline: Least load follows the reports
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

  Scenario: Prefix affinity follows the cache events
    Given 3 targets
    And target "target-2" holds the prefix of the request
    When policy "prefix" chooses 5 times
    Then target "target-2" was chosen 5 times

  Scenario: Prefix affinity without events keeps equal beginnings together
    Given 3 targets
    When policy "prefix" chooses 5 times
    Then 1 target was chosen

  Scenario Outline: Failed targets are left out while others are there
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

  Scenario: Equal seeds give equal requests
    Then seed 1 gives the same requests twice
    And seeds 1 and 2 give different requests

  Scenario: Arrivals keep the rate
    Then seed 1 gives between 900 and 1100 requests at 100 a second in 10 s

  Scenario: The engines are filled with rests of long answers
    When the engines are filled for 30 requests a second
    Then no rest is longer than its answer
    And the rests are longer than half the mean answer
