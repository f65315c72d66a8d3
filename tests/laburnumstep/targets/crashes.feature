Feature: Requests are blamed for crashes by what they have in common
  Guards against parts of prompts that crash one target after the other, and
  against sound requests that are refused because they were on a target that
  crashed for another reason. A request is written as its parts; "a b / a c"
  are two requests on one target, "#1" is the whole request.

  Scenario: Requests with a part that crashes targets are refused after two
    Given target "e1" crashes at 1 s with "f g dead / f2 g2"
    And target "e2" crashes at 3 s with "f g dead / f3 g3"
    Then requests "f g dead" are refused
    And requests "f g, f g x, f2 g2, f3 g3" are accepted

  # Guards against a shared first part that is refused with the deadly one.
  Scenario: A part that a target survives is cleared
    Given target "e1" crashes at 1 s with "f g dead"
    And target "e2" crashes at 3 s with "f g dead"
    When a target survives "f g x" at 4 s
    And target "e3" crashes at 5 s with "f9 dead"
    Then requests "dead, f9 dead, f g dead" are refused
    And requests "f, g, f g x, f9" are accepted

  # Guards against a deadly part that hides behind a different caller each time.
  Scenario: A part that all callers share is found after four crashes
    Given target "e1" crashes at 1 s with "f1 dead"
    And target "e2" crashes at 3 s with "f2 dead"
    And target "e3" crashes at 5 s with "f1 dead"
    And target "e4" crashes at 7 s with "f3 dead"
    Then requests "f1 dead, f8 dead" are refused
    And requests "f1, f2, f3" are accepted

  # Guards against refusing all requests of a caller one of whose sound
  # requests was on a target that crashed for another reason.
  Scenario: Parts in one more crash do not outweigh the deadly part
    Given target "e1" crashes at 1 s with "f g dead"
    And target "e2" crashes at 3 s with "f g dead"
    And target "e3" crashes at 5 s with "f g x"
    Then requests "f g dead, f g dead y" are refused
    And requests "f g, f g x, f g y" are accepted

  Scenario: Two parts that crash targets are both refused
    Given target "e1" crashes at 1 s with "f1 bad"
    And target "e2" crashes at 2 s with "f2 dead"
    And target "e3" crashes at 3 s with "f3 bad"
    And target "e4" crashes at 4 s with "f4 dead"
    Then requests "f5 bad, f5 dead" are refused
    And requests "f1, f2, f3, f4" are accepted

  # Guards against a rack that loses power with requests of one caller on it.
  Scenario: Targets that crash together are one incident
    Given target "e1" crashes at 1 s with "f g"
    And target "e2" crashes at 1.1 s with "f h"
    And target "e3" crashes at 1.2 s with "f g"
    Then requests "f g, f h" are accepted

  Scenario: A request that is sent after a crash explains the next one
    Given target "e1" crashes at 1 s with "f dead"
    And target "e2" crashes at 1.1 s with "f dead" sent at 1.05 s
    Then requests "f dead" are refused

  # Guards against further requests with a deadly part that are let through
  # because each request, sent to two targets, explains two crashes.
  Scenario: A part explains more than the retries of single requests
    Given target "e1" crashes at 1 s with "f dead #1"
    And target "e2" crashes at 2 s with "f dead #1"
    Then requests "f dead #1" are refused
    And requests "f dead #2, f #3" are accepted
    When target "e3" crashes at 3 s with "f dead #2"
    Then requests "f dead #1, f dead #2, f dead #3" are refused
    And requests "f #4" are accepted

  Scenario: Several VMs report one crash
    Given target "e1" crashes at 1 s with "f dead"
    And target "e1" crashes at 2 s with "f dead / h"
    Then requests "f dead" are accepted

  # Guards against a popular part on targets that crash for other reasons.
  Scenario Outline: A part that targets survived lately needs more evidence
    Given a target survives "f x" at 0 s
    And <crashes> targets crash every 2 s with "f" and other parts
    Then requests "f x" are <decision>

    Examples:
      | crashes | decision |
      | 2       | accepted |
      | 3       | accepted |
      | 4       | refused  |

  # Guards against a wrong verdict while reports of other VMs are on their way.
  Scenario: A report that arrives later corrects the verdict
    Given target "e1" crashes at 1 s with "f x"
    And target "e2" crashes at 3 s with "f y"
    Then requests "f" are refused
    When target "e1" crashes at 1.01 s with "h dead"
    And target "e2" crashes at 3.01 s with "h dead"
    Then requests "h dead" are refused
    And requests "f, f x" are accepted

  # Guards against a verdict for ever, and against a target lost for each VM
  # that tries whether the part still crashes targets.
  Scenario: One request tries a culprit when its refusal ends
    Given target "e1" crashes at 1 s with "f dead"
    And target "e2" crashes at 3 s with "f dead"
    When 1800 seconds pass
    Then a VM that does not own the culprit refuses "f dead"
    And of 5 requests "f dead" 1 is accepted
    When target "e3" crashes at 1805 s with "f dead"
    And 3500 seconds pass
    Then of 5 requests "f dead" 0 are accepted
    When 150 seconds pass
    Then of 5 requests "f dead" 1 is accepted
    When a target survives "f dead" at 5455 s
    Then of 5 requests "f dead" 5 are accepted

  Scenario: Siblings refuse what one VM has seen, and a new VM learns it
    Given VMs "a" and "b" that exchange evidence
    When VM "a" sees target "e1" crash with "f dead"
    And VM "b" sees target "e2" crash with "f dead"
    Then VMs "a, b" refuse "f dead"
    When VM "a" starts again
    Then VMs "a, b" refuse "f dead"
    When VM "b" sees a target survive "f dead"
    Then VMs "a, b" accept "f dead"

  Scenario: An operator's order is in force on all VMs
    Given VMs "a" and "b" that exchange evidence
    When an operator of VM "a" refuses "dead" for 60 seconds
    Then VMs "a, b" refuse "f dead"
    And VMs "a, b" accept "f"
    When VM "b" starts again
    Then VMs "a, b" refuse "dead"
    When an operator of VM "b" clears "dead"
    Then VMs "a, b" accept "f dead"
    When an operator of VM "b" refuses "dead" for 60 seconds
    And 61 seconds pass
    Then VMs "a, b" accept "f dead"

  Scenario Outline: Malformed evidence of a sibling is ignored
    Given VMs "a" and "b" that exchange evidence
    When VM "a" receives the evidence <data>
    Then VMs "a, b" accept "f"

    Examples:
      | data                                                                                             |
      | []                                                                                               |
      | {"trait": ["part", 1, "x"], "cleared_at": 1}                                                     |
      | {"trait": ["part", "m", "x"]}                                                                    |
      | {"target": "e", "crashed_at": 1, "last_sent_at": 1, "traits": [], "requests": [[0]]}             |
      | {"target": "e", "crashed_at": 1, "last_sent_at": 1, "traits": [["part", "m"]], "requests": [[]]} |
      | {"target": "e", "crashed_at": 1, "last_sent_at": 1, "traits": [], "requests": [1]}               |
      | {"target": "e", "crashed_at": NaN, "last_sent_at": 1, "traits": [], "requests": []}              |
      | {"refused": [["part", "m", "f"]], "refused_until": Infinity, "ordered_at": 1}                    |
      | not JSON                                                                                         |
      | {"trait": ["part", "m", "f"], "cleared_at": 1e999}                                               |
      | {"refused": [["part", "m", "f"]], "refused_until": 1e999, "ordered_at": 1}                       |
      | {"refused": [["part", "m", "f"]], "refused_until": 10000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000000, "ordered_at": 1} |
      | nested                                                                                           |

  Scenario Outline: Only a target that refuses connections has crashed
    Given a request "f dead" on target "e1" with <progress>
    When the target breaks off, and then <connections>
    Then the monitor reports <reports> crashes

    Examples:
      | progress            | connections                   | reports |
      | no event            | refuses connections           | 1       |
      | no event            | accepts connections           | 0       |
      | no event            | accepts one and refuses later | 1       |
      | an event            | refuses connections           | 1       |
      | events for a second | refuses connections           | 0       |
      | a complete answer   | refuses connections           | 0       |

  Scenario: Requests on a target are suspects of one crash
    Given requests "f dead" and "g" on target "e1"
    When both observe that the target breaks off, and it refuses connections
    Then one crash is reported with "f dead / g"

  # Guards against VMs that stand still for seconds because each suspect of a
  # crash is compared with each suspect of all others (review/6).
  Scenario: The work to explain crashes grows with their suspects
    Given 32 incidents with 50 suspects each, of which one has the part "dead"
    When the incidents are explained
    Then the part "dead" explains 32 of them
    And at most 2 comparisons were made for each suspect

  Scenario: Suspects of one crash are cleared without comparing all crashes
    Given 8 targets crash every 3 s with "f" and other parts
    And a target survives "f" at 30 s
    When a target survives each of the other parts
    Then the crashes were explained at most 1 times meanwhile
    And requests "f, f o1, f o8" are accepted
