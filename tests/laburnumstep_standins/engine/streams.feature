Feature: Streams of generations
  Guards against a stand-in with fewer faults than a real engine: tests of
  the relay depend on faults that take effect in the stream.

  Scenario Outline: A fault takes effect in the stream
    Given an engine with {"length_profiles": [["", 4, 0]]}
    And the faults are <fault>
    When generation "g" starts with the prompt "poison"
    And "g" has ended
    Then "g" received exactly <events>

    Examples:
      | fault                          | events                     |
      | {}                             | 0 1 2 3 done               |
      | {"repeat_events": 2}           | 0 0 1 1 2 3 done           |
      | {"duplicate_last_token": true} | 0 1 2 3 3 done             |
      | {"out_of_memory_at": 2}        | 0 1 failed:out_of_memory   |
      | {"crash_prompt": "poison"}     | cut                        |
      | {"crash_prompt": "other"}      | 0 1 2 3 done               |

  Scenario: An answer ends at max_tokens
    Given an engine with {"length_profiles": [["", 40, 0]]}
    When generation "g" of at most 3 tokens starts with the prompt "p"
    And "g" has ended
    Then "g" received exactly 0 1 2 done

  Scenario: A crash closes the streams and refuses later requests
    Given an engine with {"length_profiles": [["", 1000, 0]]}
    When generation "g" starts with the prompt "p"
    And 0.05 seconds pass
    And the engine crashes
    And "g" has ended
    And generation "h" starts with the prompt "p"
    And "h" has ended
    And generation "unknown" is resumed from 0 as "r"
    And "r" has ended
    Then "g" ends with cut
    And "r" received exactly cut
    And "h" received exactly cut

  Scenario: The process exits in a crash
    Given an engine as a process
    When the process gets the fault {"crash": true}
    Then the process exits with status 70

  Scenario: A stalled stream sends nothing while the generation continues
    Given an engine with {"length_profiles": [["", 4, 0]]}
    And the faults are {"stall": true}
    When generation "g" starts with the prompt "p"
    And 2 seconds pass
    Then the load shows {"running": 0, "waiting": 0}
    And "g" received exactly nothing
    When the faults are {"stall": false}
    And "g" has ended
    Then "g" received exactly 0 1 2 3 done

  Scenario: Events are delayed
    Given an engine with {"length_profiles": [["", 4, 0]]}
    And the faults are {"delay_seconds": 3}
    When generation "g" starts with the prompt "p"
    And 2 seconds pass
    Then "g" received exactly nothing
    When "g" has ended
    Then "g" received exactly 0 1 2 3 done

  Scenario Outline: A generation is cancelled
    Given an engine with {"length_profiles": [["", 1000, 0]]}
    And the faults are <fault>
    When generation "g" starts with the prompt "p"
    And "g" has 3 events
    And "g" is cancelled
    And "g" has ended
    Then "g" received exactly <events>

    Examples:
      | fault                      | events                         |
      | {}                         | 0 1 2 failed:cancelled         |
      | {"tokens_after_cancel": 2} | 0 1 2 3 4 failed:cancelled     |

  Scenario Outline: A generation is resumed
    Given an engine with {"length_profiles": [["", 4, 0]], "keep_seconds": 60}
    When generation "g" starts with the prompt "p"
    And "g" has <before> events
    And <seconds> seconds pass
    And generation "<name>" is resumed from <position> as "r"
    And "r" has ended
    Then "r" has status <status>
    And "r" received exactly <events>

    Examples:
      | before | seconds | name | position | status | events       |
      | 2      | 0       | g    | 0        | 200    | 0 1 2 3 done |
      | 2      | 0       | g    | 2        | 200    | 2 3 done     |
      | 5      | 50      | g    | 3        | 200    | 3 done       |
      | 5      | 50      | g    | 4        | 200    | done         |
      | 5      | 61      | g    | 0        | 404    | nothing      |
      | 5      | 0       | x    | 0        | 404    | nothing      |

  Scenario: A repeated request receives the events of the same generation
    Given an engine with {"length_profiles": [["", 6, 0]]}
    When generation "g" starts with the prompt "p"
    And "g" has 2 events
    And generation "g" is requested again with the prompt "p" as "again"
    And "again" has ended
    Then "again" received exactly 0 1 2 3 4 5 done
    And the engine started 1 generations

  Scenario: Tokens depend only on the prompt and the position
    Given an engine with {"kv_tokens": 1000}
    When generation "g" starts with the prompt "p"
    And "g" has ended
    Given an engine with {"kv_tokens": 9999, "seed": 5}
    When generation "h" starts with the prompt "p"
    And "h" has ended
    Then "g" and "h" received the same tokens
    And the tokens of "g" are those of prompt "p"
