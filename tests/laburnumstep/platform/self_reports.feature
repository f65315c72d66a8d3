Feature: A VM follows what servers on the platform say about themselves
  Guards against requests to a server that has said that it is leaving or that
  it wants none, and against a server that is left out because of an ordinary
  refusal or a value that cannot be read.

  Scenario Outline: A server that says so gets no further request
    Given a VM on the platform with one server
    And the server answers <status> with the headers "<headers>"
    When 5 requests for "<path>" are sent one after the other
    Then <count> requests reached the server

    Examples: leaving
      | status | headers                             | path      | count |
      | 200    | Server-Leaving: 1                   | /safe/1   | 1     |
      | 200    | Server-Leaving: 1                   | /unsafe/1 | 1     |
      | 503    | Server-Leaving: 1; Not-Executed: 1  | /unsafe/1 | 1     |
      | 500    | Server-Leaving: 1                   | /unsafe/1 | 1     |
      | 200    | Server-Leaving: 0                   | /safe/1   | 5     |
      | 200    | Server-Leaving: yes                 | /safe/1   | 5     |
      | 421    | Server-Leaving: 1; Not-Executed: 1  | /unsafe/1 | 5     |

    Examples: back-off
      | status | headers                             | path      | count |
      | 503    | Retry-After: 40; Not-Executed: 1    | /safe/1   | 1     |
      | 503    | Retry-After: 40                     | /unsafe/1 | 1     |
      | 503    | Not-Executed: 1                     | /unsafe/1 | 5     |
      | 503    | Retry-After: soon; Not-Executed: 1  | /unsafe/1 | 5     |
      | 503    | Retry-After: -40; Not-Executed: 1   | /unsafe/1 | 5     |
      | 503    | Retry-After: 0; Not-Executed: 1     | /unsafe/1 | 5     |
      | 200    | Retry-After: 40                     | /unsafe/1 | 5     |
      | 421    | Retry-After: 40; Not-Executed: 1    | /unsafe/1 | 5     |

  # Guards against a caller that comes back before the server wants it, and a
  # server that is left out for good.
  Scenario Outline: Refused callers come back at the end of the back-off
    Given a VM on the platform with one server
    And the server answers 503 with the headers "Retry-After: <value>; Not-Executed: 1"
    When 3 requests for "/safe/1" are sent one after the other
    Then they are refused as not run, for <least> to <most> seconds

    Examples:
      | value | least | most |
      | 40    | 35    | 40   |
      | 40.5  | 35    | 40.5 |
      | 99999999999999999999999999 | 295 | 300 |

  # Guards against a server that is used again because of an entry which it
  # wrote before it said that it leaves, and against one that stays left out.
  Scenario Outline: A server that said that it leaves is used after its return
    Given a VM on the platform with one server
    And the server answers 200 with the headers "Server-Leaving: 1"
    When 2 requests for "/safe/1" are sent one after the other
    And the server answers 200 with the headers "Server-Leaving: 0"
    And the server writes the entries "<entries>"
    Then a request for "/safe/1" gets status <status>

    Examples:
      | entries              | status |
      | ready 2              | 503    |
      | draining 2           | 503    |
      | draining 2; ready 3  | 200    |
      | draining 3; ready 2  | 503    |
      | ready 1 born 9       | 200    |

  # Guards against runs that are lost with an engine which says in a refusal,
  # before its entry does, that it leaves.
  Scenario: Runs on an engine that says so migrate
    Given a VM on the platform with an engine that refuses its second stream as it leaves
    When two streams are sent to it and another engine registers
    Then it is asked to copy a run
