Feature: Requests wait on the VM until an engine has capacity
  Guards against preemptions on overfilled engines, short requests blocked
  behind long ones, waits beyond the deadline, and shed requests that run
  nevertheless.

  Scenario: A request is admitted at once where there is capacity
    Given an engine with capacity for 2 requests
    When requests a, b and c arrive with 60 seconds to their deadline
    Then a, b are admitted and c waits
    When a ends
    Then a, b, c are admitted

  Scenario Outline: The more urgent request goes first
    Given an engine with capacity for 1 requests
    And answers have 2000 tokens in workspace plans and 10 in questions
    When a running request uses all of its memory
    And a <first> arrives, and <gap> seconds later a <second>
    And the running request ends
    Then the <winner> request is admitted first

    Examples:
      | first             | gap | second            | winner |
      | question          | 1   | question          | first  |
      | plan              | 1   | question          | second |
      | plan              | 45  | question          | first  |
      | question          | 1   | priority question | second |
      | question          | 12  | priority question | first  |
      | plan              | 1   | priority plan     | second |

  Scenario: Low priority does not starve
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And a request of priority 0 waits while every second another of priority 2 arrives and one ends
    Then the request of priority 0 is admitted within 25 seconds

  Scenario: A burst of one workspace does not delay another
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And 40 requests of a large workspace arrive, then one of a small workspace
    And requests end one by one
    Then the request of the small workspace is among the first 5 admitted

  Scenario: A smaller request overtakes one without capacity for a limited time
    Given an engine with capacity for 3 requests
    And answers have 2000 tokens in workspace plans and 10 in questions
    When a running request leaves capacity for a question only
    And a priority plan arrives that needs more capacity
    Then a question that arrives next is admitted at once
    But 40 seconds later a further question waits behind the plan

  Scenario: The upper bound of an answer limits its length estimate
    Given an engine with capacity for 3 requests
    And answers have 2000 tokens in workspace plans and 10 in questions
    When a running request leaves capacity for a question only
    And a plan of at most 10 tokens arrives
    Then the plan is admitted at once

  Scenario: Low priority leaves capacity for requests that callers watch
    Given an engine with capacity for 10 requests
    When 20 requests of priority -1 arrive
    Then from 4 to 8 of them are placed
    When 1 requests of priority 0 arrive
    Then it is admitted at once, ahead of those that wait
    When 10 seconds pass without news
    Then more of them are admitted, up to what priority 0 may use

  Scenario: A long request may use capacity that low priority must leave
    Given an engine with capacity for 60 requests
    And answers have 2000 tokens in workspace plans and 10 in questions
    When 80 requests of priority -1 arrive
    And a plan arrives
    Then the plan is admitted at once

  Scenario Outline: A request without capacity is shed and never sent
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And a request arrives with <left> seconds to its deadline
    And <pass> seconds pass without news
    Then it is shed as overloaded with a time to resend in the future
    And it is sent to no target, then or when capacity becomes free

    Examples:
      | left | pass |
      | 5    | 5    |
      | 0    | 0    |
      | -1   | 0    |

  Scenario: A request past its deadline is not sent even where there is capacity
    Given an engine with capacity for 2 requests
    When a request arrives with 0 seconds to its deadline
    Then it is shed as overloaded with a time to resend in the future
    And it is sent to no target, then or when capacity becomes free

  Scenario: A wait that would pass the deadline is refused early
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And 1 request a second has been placed for 30 seconds and 20 wait
    And a request arrives with 10 seconds to its deadline
    Then it is shed as overloaded with a time to resend in the future
    And a request with 60 seconds to its deadline waits

  Scenario: A request that can no longer finish in time is not started
    Given an engine with capacity for 1 requests
    And answers take 0.1 seconds a token and have 100 tokens
    When a running request uses all of its memory
    And a request arrives with 12 seconds to its deadline
    And 3 seconds pass without news
    Then it is shed as overloaded with a time to resend in the future

  Scenario Outline: An event that frees capacity wakes a waiting request
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And a request arrives with 60 seconds to its deadline
    And <news>
    Then it is admitted without a further wait

    Examples:
      | news                            |
      | a report shows room             |
      | the configuration adds engines  |
      | a failed engine recovers        |

  Scenario Outline: The next waiter rechecks in time after the first leaves the queue
    Given an engine with capacity for 1 requests
    When the engine fails for 20 seconds
    And a request arrives with 10 seconds to its deadline
    And another request arrives with 60 seconds to its deadline
    And <event>
    And the 20 seconds are over
    Then the other request is admitted

    Examples:
      | event                           |
      | 10 seconds pass without news    |
      | its caller is gone              |

  Scenario: A request that has become the first rechecks in time
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And a request arrives with 60 seconds to its deadline
    And another request arrives with 60 seconds to its deadline
    And the running request ends
    And the engine fails for 20 seconds
    And it ends
    And the 20 seconds are over
    Then the other request is admitted

  Scenario: A model that no target serves is refused at once
    Given an engine with capacity for 1 requests
    When a request for an unknown model arrives
    Then it is shed as no_target with a time to resend in the future
    And no queue is kept for the unknown model

  Scenario Outline: A disconnected caller uses no capacity
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And a request arrives with 60 seconds to its deadline
    And its caller disconnects <when>
    Then no request waits and the engine has capacity again

    Examples:
      | when                       |
      | while it waits             |
      | as it is being admitted    |

  Scenario: Waiting requests do not poll
    Given an engine with capacity for 1 requests
    When a running request uses all of its memory
    And 200 requests wait for 60 seconds without news
    Then the tasks have started at most 250 sleeps
