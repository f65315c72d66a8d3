Feature: A run is passed on to another engine within a bounded time
  Guards against two engines that work on one run for longer than the platform
  allows, 0.4 s, and against streams that end because the next engine refuses,
  is slow, dies or cannot be reached.

  # Guards against a first run that is ended only by the head of the next
  # answer, which a slow engine sends with its first event (review/9).
  Scenario Outline: The engine before is stopped in time if the next is slow
    Given a <kind> stream of events 1 to 8 whose run goes on at "b" <path>
    And "b" replies after <delay> s
    And "b" streams events 4 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the run on "a" ended within 0.4 s after the request was sent to "b"
    And every run was closed and every placement released

    Examples:
      | kind      | path                | delay |
      | single    | from a copy         | 0.2   |
      | single    | from a copy         | 0.85  |
      | single    | from a copy         | 3     |
      | single    | from its backup     | 0.85  |
      | resumable | anew before a stop  | 0.85  |
      | single    | after a silence     | 0.85  |
      | resumable | anew after silence  | 0.85  |

  # Guards against a stream that loses its only run to an engine that does not
  # take it.
  Scenario Outline: A run stays at its engine if the next one does not take it
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And "a" goes on to event 8
    And "c" refuses the copy
    And "b" <trouble>
    And target "b" replies <reply>
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And at most 0.35 s passed
    And every run was closed and every placement released

    Examples:
      | trouble                               | reply       |
      | replies after 0 s                     | not run     |
      | replies after 0.25 s                  | not run     |
      | replies after 0.25 s                  | held        |
      | replies after 0.25 s                  | not reached |
      | replies after 0.25 s                  | lost        |
      | answers no question for 0.85 s        | lost        |

  # Guards against a stream that ends because an engine takes the request and
  # hangs, refuses it late or dies, when the run before has been stopped.
  Scenario Outline: A run that the next engine does not stream is not lost
    Given a <kind> stream of events 1 to 8 whose run goes on at "b" <path>
    And a move from "a" succeeds
    And engine "b" lists other runs
    And "b" replies after <delay> s
    And target "b" replies <reply>
    And "c" streams events 4 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a,b,c"
    And "c" started from copy a/moved at event <event>
    And at most <seconds> s passed
    And the run on "a" ended within 0.4 s after the request was sent to "b"
    And every run was closed and every placement released

    Examples:
      | kind      | path            | delay | reply        | event | seconds |
      | single    | from a copy     | 0.25  | not run      | 4     | 0.3     |
      | single    | from a copy     | 0.85  | not run      | 4     | 0.9     |
      | single    | from a copy     | 0.85  | lost, closed | 4     | 0.9     |
      | single    | from its backup | 0.85  | lost, closed | 3     | 0.9     |
      | resumable | from a copy     | 0.85  | lost, closed | 4     | 0.9     |
      | single    | from a copy     | 30    | lost         | 4     | 1.75    |

  # Guards against a stream that ends because an engine has swallowed the only
  # request that could continue it.
  Scenario Outline: An engine that has not begun a run is sent its copy again
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And engine "b" lists <list>
    And "b" replies after 30 s
    And "b" then replies after 0.1 s
    And target "b" replies not run
    When the request is relayed
    Then the stream is incomplete
    And the request was sent to targets "<targets>"
    And the run on "a" ended within 0.4 s after the request was sent to "b"
    And each placement was released once

    Examples:
      | list        | targets |
      | other runs  | a,b,b   |
      | no runs     | a,b     |
      | the run     | a,b     |

  Scenario: A run goes on when its engine is sent the copy again
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And engine "b" lists other runs
    And "b" replies after 30 s
    And "b" then replies after 0.1 s
    And "b" streams events 4 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a,b,b"
    And at most 1.9 s passed
    And every run was closed and every placement released

  # Guards against capacity that stays reserved for a copy that is not needed.
  Scenario Outline: The memory of a run is given up when the next engine streams
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And a move from "a" <result>
    And "b" replies after <delay> s
    And "b" streams events 4 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the run was moved from "a" <moves> times
    And the request was sent to targets "a,b"
    And every run was closed and every placement released

    Examples:
      | result                           | delay | moves |
      | succeeds                         | 0.15  | 0     |
      | succeeds                         | 0.25  | 1     |
      | succeeds                         | 0.85  | 1     |
      | fails after the run was stopped  | 0.85  | 1     |
      | finds no run                     | 0.85  | 1     |
      | gets no answer                   | 0.85  | 1     |

  # Guards against a stream that waits for an engine to which the request was
  # never sent, and against a run that is ended for it.
  Scenario: A run stays at its engine if the request is not sent
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And "a" goes on to event 8
    And "c" refuses the copy
    And "b" takes no connection for 3 s
    And target "b" replies not reached
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request to "b" was cancelled
    And at most 1 s passed

  # Guards against an attempt that goes on at an engine that was given up.
  Scenario: The request to an engine that answers no question is cancelled
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And "a" goes on to event 8
    And "c" refuses the copy
    And "b" answers no question for 3 s
    And "b" streams events 4 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request to "b" was cancelled

  # Guards against an engine that took a run and dies, and leaves its stream
  # waiting or a route's attempts used up.
  Scenario Outline: A run that its next engine loses starts anew if it may
    Given a <kind> stream of events 1 to 8 whose run goes on at "b" <path>
    And its route allows <attempts> attempts
    And "b" replies after 0.85 s
    And target "b" replies <reply>
    And "c" streams events 4 to 8 and ends
    When the request is relayed
    Then the request was sent to targets "<targets>"
    And the run on "a" ended within 0.4 s after the request was sent to "b"
    And each placement was released once

    Examples:
      | kind      | path               | attempts | reply        | targets |
      | resumable | from a copy        | 2        | lost, closed | a,b,c   |
      | resumable | from a copy        | 1        | lost, closed | a,b     |
      | single    | from a copy        | 2        | lost, closed | a,b     |
      | resumable | from a copy        | 2        | not run      | a,b,c   |
      | resumable | anew before a stop | 2        | lost         | a,b     |
      | resumable | anew before a stop | 2        | not run      | a,b,c   |
      | resumable | anew before a stop | 3        | lost         | a,b,c   |

  # Guards against a late refusal that ejects a sound engine, and against one
  # that is taken for a success.
  Scenario Outline: What the late reply of the next engine says of it
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And "b" replies after 0.85 s
    And target "b" replies <reply>
    When the request is relayed
    Then the stream is incomplete
    And "b" has <failures> failures and <breaks> breaks

    Examples:
      | reply        | failures | breaks |
      | not run      | 0        | 0      |
      | lost         | 1        | 0      |
      | lost, closed | 1        | 1      |
      | status 500   | 1        | 0      |

  # Guards against requests that go on at an engine after their caller left.
  Scenario: A caller that leaves during a hand-over ends both runs
    Given a single stream of events 1 to 8 whose run goes on at "b" from a copy
    And "b" replies after 0.85 s
    And "b" streams events 4 to 8 and ends
    When the request is relayed to a caller that leaves 0.2 s after it was sent to "b"
    Then the request to "b" was cancelled
    And the run on "a" ended within 0.4 s after the request was sent to "b"
    And each placement was released once
