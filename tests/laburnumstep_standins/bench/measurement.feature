Feature: Measurement at the caller
  Guards against figures that favour a policy: waits that are cut off at the
  end of the run, omitted, or counted for answers that no caller watches.

  Scenario Outline: The time by which waits exceed their bounds is stall time
    Given a caller that sends a "<kind>" request at 0
    When tokens arrive at <times>
    And the run ends at <end>
    Then its stall time is <stall> seconds

    Examples:
      | kind     | times           | end | stall |
      | plan     | 0.94,1.0,1.069  | 1.1 | 0     |
      | plan     | 1.04            | 1.1 | 0.1   |
      | plan     | 0.5,0.669       | 0.7 | 0.1   |
      | plan     | 1.44,1.609      | 1.6 | 0.6   |
      | plan     | never           | 2.0 | 1.06  |
      | plan     | 0.5             | 1.0 | 0.431 |
      | question | 1.04            | 1.1 | 0.1   |
      | letter   | 5.0,6.0         | 9.0 | 0     |

  Scenario: A complete answer adds no wait at the end of the run
    Given a caller that sends a "plan" request at 0
    When tokens arrive at 0.1
    And the answer is complete at 0.1
    And the run ends at 9.0
    Then its stall time is 0 seconds

  Scenario Outline: Only answers that are complete in time count as goodput
    Given a caller that sends a "question" request at 0
    When tokens arrive at 0.1,0.15
    And the answer is complete at <at>
    Then the goodput over 1 second is <tokens>

    Examples:
      | at   | tokens |
      | 10.0 | 2      |
      | 10.1 | 0      |

  Scenario: A stream without a token counts as an infinite wait
    Given a caller that sends a "plan" request at 0
    When the run ends at 1.0
    Then the 95th percentile of the first token is infinite

  Scenario Outline: Percentiles use the nearest rank
    Then percentile <percent> of 1,2,3,4,5,6,7,8,9,10 is <value>

    Examples:
      | percent | value |
      | 50      | 5     |
      | 95      | 10    |
      | 100     | 10    |
      | 1       | 1     |

  Scenario Outline: A figure without a measurement is printed as unmeasured
    When figure <value> is printed
    Then the line is "<line>"

    Examples:
      | value | line              |
      | none  | name unmeasured - |
      | nan   | name unmeasured - |
      | 0.5   | name 0.5 s        |

  Scenario Outline: Ratios to the best baseline
    Then the ratio of <own> to <best> is <ratio>

    Examples:
      | own | best | ratio |
      | 1   | 4    | 0.25  |
      | 0   | 0    | 0     |
      | 1   | 0    | inf   |
