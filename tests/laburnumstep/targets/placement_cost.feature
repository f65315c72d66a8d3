Feature: A request goes to the engine that costs least in seconds
  Guards against long streams on engines whose pauses miss their objective,
  and against queues at engines that have a prompt cached.

  Background:
    Given 8 engines that pause for 80 ms beside a prefill

  Scenario Outline: The choice between two engines
    Given engine-0 pauses for <pause> ms
    And each engine gets <rate> prompts a second
    And <waiting0> requests wait on engine-0 and <waiting1> on engine-1
    And on engine-0 there is <there>
    When <request> compares the two
    Then it goes to engine-<chosen>

    Examples: A long stream avoids a slow engine; a miss costs 1.5 s
      | pause | rate | waiting0 | waiting1 | there   | request                            | chosen |
      | 190   | 1    | 0        | 2        | nothing | a long stream with an objective    | 1      |
      | 190   | 1    | 0        | 5        | nothing | a long stream without an objective | 0      |
      | 170   | 1    | 0        | 5        | nothing | a long stream with an objective    | 0      |
      | 190   | 0    | 0        | 2        | nothing | a long stream with an objective    | 0      |
      | 190   | 1    | 0        | 9        | nothing | a long stream with an objective    | 0      |

    Examples: A short request takes the slow engine unless it harms there
      | pause | rate | waiting0 | waiting1 | there                             | request         | chosen |
      | 190   | 0.1  | 0        | 1        | nothing                           | a short request | 0      |
      | 190   | 0.1  | 0        | 1        | a long stream with an objective   | a short request | 1      |
      | 190   | 9    | 0        | 9        | a long stream with an objective   | a short request | 0      |
      | 80    | 0.1  | 0        | 3        | a long stream with an objective   | a short request | 0      |

    Examples: A cached prompt is worth the prefill that it saves
      | pause | rate | waiting0 | waiting1 | there             | request          | chosen |
      | 80    | 1    | 0        | 0        | its cached prompt | a cached request | 0      |
      | 80    | 1    | 3        | 0        | its cached prompt | a cached request | 1      |
      | 80    | 1    | 0        | 3        | nothing           | a cached request | 0      |

  Scenario Outline: Candidates are sampled by pace
    Given engine-0 pauses for <pause> ms
    And each engine gets 1 prompts a second
    When 200 samples of two engines are drawn for <request>
    Then engine-0 is in <share> of them

    Examples:
      | pause | request                            | share         |
      | 190   | a long stream with an objective    | none          |
      | 80    | a long stream with an objective    | some          |
      | 190   | a short request                    | most          |
      | 190   | a long stream without an objective | most          |

  Scenario: The reason names the terms
    When a long stream with an objective compares the two
    Then the reason names wait, prefill, link, late, pause, harm, preemption and exposure

  Scenario Outline: Long streams are in time on a fleet of unequal engines
    A quarter of 16 engines has a speed of 0.55. About one long stream in
    eight is late if VMs know neither pace nor objectives.
    When a fleet serves 14 requests a second for a minute, seed <seed>
    Then at most a third as many long streams are late as without the pace
    And first events take no longer than without the pace

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
