Feature: Continuous batching in limited memory
  Guards against a stand-in with unlimited memory, no queue order and exact,
  current reports: placement policies would look better on it than on a
  real engine.

  Scenario Outline: A step lasts longer with more generations
    Given an engine with {"length_profiles": [["", 100, 0]], "step_seconds_per_running": 0.001, "prefill_seconds_per_token": 0}
    When <count> generations start at once
    And all have ended
    Then the last ended after <seconds> seconds

    Examples:
      | count | seconds |
      | 1     | 1.1     |
      | 10    | 2.0     |

  Scenario Outline: A lack of memory affects the generation of lower priority
    Given an engine with <config>
    When generation "low" of priority 0 starts with the prompt "p"
    And generation "high" of priority 1 starts with the prompt "q"
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

  Scenario: A preempted generation neither loses nor repeats tokens
    Given an engine with {"length_profiles": [["", 60, 0]], "kv_tokens": 100}
    When generation "low" of priority 0 starts with the prompt "p"
    And generation "high" of priority 1 starts with the prompt "q"
    And "low" has ended
    Then "low" received 60 tokens once each

  Scenario Outline: A generation larger than the memory fails
    Given an engine with {"length_profiles": [["", 60, 0]], "kv_tokens": 50}
    When generation "g" starts with a prompt of <characters> characters
    And "g" has ended
    Then "g" ends with failed:out_of_memory

    Examples:
      | characters |
      | 4          |
      | 400        |

  Scenario: Generations of higher priority start first
    Given an engine with {"length_profiles": [["", 20, 0]], "max_running": 1}
    When generation "first" of priority 2 starts with the prompt "p"
    And generation "low" of priority 0 starts with the prompt "q"
    And generation "high" of priority 1 starts with the prompt "r"
    And all have ended
    Then "high" ended before "low"
    And "low" was preempted 0 times

  Scenario: An engine with a full queue refuses generations
    Given an engine with {"length_profiles": [["", 20, 0]], "max_running": 1, "max_waiting": 1}
    When generation "first" starts with the prompt "p"
    And 0.02 seconds pass
    And generation "second" starts with the prompt "p"
    And generation "third" starts with the prompt "p"
    Then "third" has status 503
    And the engine started 2 generations

  Scenario: A cached prefix shortens the prefill
    Given an engine with {"length_profiles": [["", 1, 0]], "prefill_seconds_per_token": 0.001}
    When generation "cold" starts with a prompt of 2100 characters
    And "cold" has ended
    And generation "warm" starts with a prompt of 2100 characters
    And "warm" has ended
    Then "warm" took 0.5 seconds less than "cold"

  Scenario: Cache events lag, and lost events leave gaps
    Given an engine with {"length_profiles": [["", 1, 0]], "cache_lag_seconds": 2, "cache_event_loss": 0, "cache_tokens": 256}
    When generation "a" starts with a prompt of 1024 characters
    And "a" has ended
    Then the cache events are nothing
    When the faults are {"lose_cache_events": true}
    And generation "b" starts with a prompt of 512 other characters
    And "b" has ended
    And the faults are {"lose_cache_events": false}
    And generation "c" starts with a prompt of 1024 characters
    And "c" has ended
    And 2.5 seconds pass
    Then the cache events are 0:stored 1:stored 4:stored 5:evicted

  Scenario: Load reports lag and can be frozen
    Given an engine with {"length_profiles": [["", 1000, 0]], "load_lag_seconds": 1}
    When generation "g" starts with the prompt "p"
    And 0.5 seconds pass
    Then the load shows {"running": 0, "waiting": 0}
    When 1 seconds pass
    Then the load shows {"running": 1}
    When the faults are {"freeze_load": true}
    And "g" has ended
    And 5 seconds pass
    Then the load shows {"running": 1}

  Scenario: A reclaimed engine announces the reclaim and ends
    Given an engine with {"length_profiles": [["", 100000, 0]]}
    When generation "g" starts with the prompt "p"
    And the engine is reclaimed in 3 seconds
    And 1 seconds pass
    Then the load announces the reclaim
    When "g" has ended
    Then "g" ends with cut

  Scenario Outline: An order with an old fencing token is refused
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
