Feature: The client reads what an engine says about a run
  Guards against a run that goes on at two engines because an answer was
  misread, and against a slow stream that is taken for a broken one.

  Scenario Outline: The answer to a move says where the run is
    Given an engine that answers "<status>" with <body>
    When it is ordered to stop a run and to move it
    Then the result is <result>

    Examples:
      | status        | body             | result      |
      | 200 OK        | {"handle": "h1"} | Moved h1    |
      | 503 Busy      | {"handle": "h1"} | Stopped h1  |
      | 503 Busy      | {}               | NotMoved    |
      | 409 Conflict  | {}               | NotMoved    |
      | 404 Not Found | {}               | NoSuchRun   |
      | 200 OK        | {}               | MoveUnknown |
      | 500 Error     | {}               | MoveUnknown |
      | 500 Error     | no JSON          | MoveUnknown |

  Scenario: An engine that does not accept a connection has not stopped the run
    Given an engine that does not listen
    When it is ordered to stop a run and to move it
    Then the result is NotMoved

  Scenario Outline: A list of runs differs from no answer
    Given an engine that answers "200 OK" with <body>
    When it is asked for its runs
    Then the result is <result>

    Examples:
      | body                          | result             |
      | {"runs": [["key-1", 9, 1, 0]]} | RunList key-1      |
      | {"runs": []}                  | RunList            |
      | {}                            | NoRunList answered |
      | no JSON                       | NoRunList answered |

  Scenario: An engine that does not listen is told from a slow one
    Given an engine that does not listen
    When it is asked for its runs
    Then the result is NoRunList refused

  Scenario: A stream is read on after a deadline in the middle of an event
    Given a stream that stops in the middle of its second event
    When it is read with a deadline and goes on after it
    Then events "1,2" arrived and one read was delayed
