Feature: Refused callers return one after the other
  Guards against callers that all return at the moment at which one of them
  can be served.

  Scenario Outline: Returns are spaced at the rate of the expected capacity
    Given capacity is expected in <delay> seconds at <rate> requests a second
    When <count> callers are refused at once
    Then the <count> returns are spaced by <gap> seconds from <first> seconds on

    Examples:
      | delay | rate | count | gap  | first |
      | 1     | 2    | 1     | 0.5  | 1     |
      | 1     | 2    | 10    | 0.5  | 1     |
      | 0     | 20   | 40    | 0.05 | 0     |
      | 3     | 0    | 10    | 0    | 3     |

  Scenario: Callers beyond the longest spread return at random times within it
    Given capacity is expected in 1 seconds at 1 requests a second
    When 100 callers are refused at once
    Then the returns are from 1 to 11 seconds, no more than 30 in one second
