Feature: Batches in limited memory
  Guards against policies that look good because the stand-in has endless
  memory, no order and perfect knowledge.

  Scenario Outline: A step lasts longer with more generations
    Given an engine with {"length_profiles": [["", 100, 0]], "step_seconds_per_running": 0.001, "prefill_seconds_per_token": 0}
    When <count> generations ask at once
    And all have ended
    Then the last ended after <seconds> seconds

    Examples:
      | count | seconds |
      | 1     | 1.1     |
      | 10    | 2.0     |

  Scenario Outline: Memory runs out
    Given an engine with <config>
    When generation "low" of priority 0 asks "p"
    And generation "high" of priority 1 asks "q"
    And "high" has ended
    And "low" has ended
    Then "high" ends with done
    And "low" ends with <ending>
    And "low" was preempted <preemptions> times
    When 1 seconds pass
    Then the load shows {"preemptions": <preemptions>, "kv_used": 0}

    Examples:
      | config                                                                              | ending               | preemptions |
      | {"length_profiles": [["", 60, 0]], "kv_tokens": 200}                                | done                 | 0           |
      | {"length_profiles": [["", 60, 0]], "kv_tokens": 100}                                | done                 | 1           |
      | {"length_profiles": [["", 60, 0]], "kv_tokens": 100, "out_of_memory_fails": true}   | failed:out_of_memory | 0           |

  Scenario: A preempted generation loses no token and repeats none
    Given an engine with {"length_profiles": [["", 60, 0]], "kv_tokens": 100}
    When generation "low" of priority 0 asks "p"
    And generation "high" of priority 1 asks "q"
    And "low" has ended
    Then "low" received 60 tokens once each

  Scenario Outline: A generation larger than the memory fails
    Given an engine with {"length_profiles": [["", 60, 0]], "kv_tokens": 50}
    When generation "g" asks a prompt of <characters> characters
    And "g" has ended
    Then "g" ends with failed:out_of_memory

    Examples:
      | characters |
      | 4          |
      | 400        |

  Scenario: Higher priorities are started first
    Given an engine with {"length_profiles": [["", 20, 0]], "max_running": 1}
    When generation "first" of priority 2 asks "p"
    And generation "low" of priority 0 asks "q"
    And generation "high" of priority 1 asks "r"
    And all have ended
    Then "high" ended before "low"
    And "low" was preempted 0 times

  Scenario: A full engine refuses
    Given an engine with {"length_profiles": [["", 20, 0]], "max_running": 1, "max_waiting": 1}
    When generation "first" asks "p"
    And 0.02 seconds pass
    And generation "second" asks "p"
    And generation "third" asks "p"
    Then "third" has status 503
    And the engine started 2 generations

  Scenario: A cached prefix needs less prefill
    Given an engine with {"length_profiles": [["", 1, 0]], "prefill_seconds_per_token": 0.001}
    When generation "cold" asks a prompt of 2100 characters
    And "cold" has ended
    And generation "warm" asks a prompt of 2100 characters
    And "warm" has ended
    Then "warm" took 0.5 seconds less than "cold"

  Scenario: Cache events are late and have gaps
    Given an engine with {"length_profiles": [["", 1, 0]], "cache_lag_seconds": 2, "cache_event_loss": 0, "cache_tokens": 256}
    When generation "a" asks a prompt of 1024 characters
    And "a" has ended
    Then the cache events are nothing
    When the faults are {"lose_cache_events": true}
    And generation "b" asks a prompt of 512 other characters
    And "b" has ended
    And the faults are {"lose_cache_events": false}
    And generation "c" asks a prompt of 1024 characters
    And "c" has ended
    And 2.5 seconds pass
    Then the cache events are 0:stored 1:stored 4:stored 5:evicted

  Scenario: Load reports lag and can be frozen
    Given an engine with {"length_profiles": [["", 1000, 0]], "load_lag_seconds": 1}
    When generation "g" asks "p"
    And 0.5 seconds pass
    Then the load shows {"running": 0, "waiting": 0}
    When 1 seconds pass
    Then the load shows {"running": 1}
    When the faults are {"freeze_load": true}
    And "g" has ended
    And 5 seconds pass
    Then the load shows {"running": 1}

  Scenario: A reclaimed engine gives notice and ends
    Given an engine with {"length_profiles": [["", 100000, 0]]}
    When generation "g" asks "p"
    And the engine is reclaimed in 3 seconds
    And 1 seconds pass
    Then the load announces the reclaim
    When "g" has ended
    Then "g" ends with cut

  Scenario Outline: Orders carry fencing numbers
    Given an engine with {"checks_fence": <checks>}
    When an order has fence 7
    And an order has fence <fence>
    Then the order is answered with <status>

    Examples:
      | checks | fence | status |
      | true   | 6     | 409    |
      | true   | 7     | 200    |
      | true   | 8     | 200    |
      | false  | 6     | 200    |
