Feature: A VM knows the limit that each target has named last
  Guards against a limit that is missed, taken from a value that cannot be
  read, or ended by an answer that is older than it.

  # Guards against an error, or a target without any requests, because of a
  # value that a server in trouble sends.
  Scenario Outline: A limit is read from the headers of an answer
    When an answer names the limits "<values>"
    Then the word is <word>

    Examples:
      | values      | word       |
      |             | none       |
      | 2           | 2          |
      | 0.5         | 0.5        |
      | .25         | 0.25       |
      | 3.          | 3          |
      | 0           | 0.1        |
      | 0.000001    | 0.1        |
      | 99999999999 | 1000000    |
      | 4, 2        | 2          |
      | 4;2         | 2          |
      | 4;x         | unreadable |
      | 2,          | unreadable |
      | -1          | unreadable |
      | +1          | unreadable |
      | NaN         | unreadable |
      | Infinity    | unreadable |
      | 1e5         | unreadable |
      | 1_0         | unreadable |
      | ٣           | unreadable |
      | two         | unreadable |
      | 1111111111111111111111111111111111111111111111111111111111111111111 | unreadable |

  # Guards against a limit that stays known after its end, and one that an
  # overtaken answer ends.
  Scenario Outline: What is known follows the answers in the order of requests
    When a VM learns at these seconds: <events>
    Then the rate is <rate>

    Examples: answers to this VM; the second after the sign is when it was sent
      | events                               | rate |
      | 1 answers nothing@0                  | none |
      | 1 answers 2@0                        | 2    |
      | 1 answers 2@0; 2 answers 1@1         | 1    |
      | 1 answers 2@0; 2 answers 4@1         | 4    |
      | 2 answers 2@0; 3 answers nothing@1   | 2    |
      | 2 answers 2@0; 3 answers nothing@2.5 | none |
      | 1 answers 2@0; 2 answers x@1         | 2    |
      | 1 answers x@0                        | none |
      | 1 answers 2@0; 60 waits              | 2    |
      | 1 answers 2@0; 62 waits              | none |
      | 1 answers 2@0; 50 answers 2@49; 62 waits | 2 |
      | 1 answers 2@0; 2 restarts            | none |

    Examples: siblings; the second after the sign is when it was named
      | events                            | rate |
      | 1 hears 2@0                       | 2    |
      | 2 answers 3@0; 3 hears 2@1        | 3    |
      | 2 answers 3@0; 3 hears 2@2.5      | 2    |
      | 2 hears 3@1; 3 hears none@2       | none |
      | 2 hears none@2; 3 hears 3@1       | none |
      | 2 hears 3@9; 3 hears 4@2.5        | 4    |
      | 70 hears 3@9                      | none |

  # Guards against a log line and a message to all VMs for each answer.
  Scenario: Only changes are announced
    When a VM learns at these seconds: 1 answers 2@0; 2 answers 2@1; 3 hears 2@2; 4 answers 1@3; 5 answers nothing@4.5
    Then the changes were 2,1,none
    And the changes in answers to this VM were 2,1,none
