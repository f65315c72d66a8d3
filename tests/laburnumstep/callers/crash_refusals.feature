Feature: Requests that crash targets are refused before they are sent
  Guards against requests that waited for capacity while the part that they
  have in common was found, and are sent to a target all the same.

  Scenario Outline: A culprit that is found while a request waits
    Given a request "f dead" that waits for capacity
    When crashes with "<parts>" are reported while it waits
    Then the request is <decision>, and <sends> sends are in progress

    Examples:
      | parts  | decision | sends |
      | f dead | refused  | 0     |
      | f      | refused  | 0     |
      | f x    | placed   | 1     |

  Scenario: A request that tries a culprit is sent
    Given a request "f dead" that waits for capacity
    And crashes with "f dead" were reported an hour ago
    When crashes with "g" are reported while it waits
    Then the request is placed, and 1 sends are in progress
