Feature: Streams continue when their engine leaves or fails
  Guards against events that are lost, duplicated or from another run, and
  against an incomplete stream that looks complete.

  Scenario: A run is copied and continued from the copy
    Given a single stream of events 1 to 6
    And "a" leaves after events 1 to 3, and events 4 to 4 follow
    And "b" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy a/copy at event 4
    And every run was closed and every placement released

  Scenario: Another engine accepts the copy that the first one refuses
    Given a single stream of events 1 to 6
    And "a" leaves after events 1 to 3, and events 4 to 4 follow
    And "b" refuses the copy
    And "c" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "c" started from copy a/copy at event 4

  Scenario: A run continues on its engine until another one streams it
    Given a single stream of events 1 to 6
    And "a" leaves after events 1 to 3, and events 4 to 4 follow
    And "b" streams events 5 to 6 and ends
    When the request is relayed
    Then the run on "a" was still open when the request was sent to "b"
    And every run was closed and every placement released

  Scenario: A copy that is not continued is made on another engine
    Given a single stream of events 1 to 8
    And "a" leaves after events 1 to 3 and goes on to event 6
    And target "b" replies not run
    And "c" streams events 7 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "c" started from copy a/copy at event 6
    And the request was sent to targets "a,b,c"
    And every run was closed and every placement released

  Scenario: An engine that does not continue a run delays it for two seconds
    Guards against a stream that waits for a crashed engine until its deadline
    although its run still goes on.
    Given a single stream of events 1 to 8
    And "a" leaves after events 1 to 3 and goes on to event 6
    And "b" does not answer for 3 seconds
    And "c" streams events 7 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "c" started from copy a/copy at event 6
    And every run was closed and every placement released

  Scenario: A run whose copies are all refused continues on its engine
    Given a single stream of events 1 to 4
    And "a" leaves after events 1 to 3, and events 4 to 4 follow
    And "b" refuses the copy
    And "c" refuses the copy
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a"

  Scenario: A run resumes on its backup when its engine announces that it leaves
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And "a" leaves after events 1 to 3, and events 4 to 5 follow
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy b/key-1 at event 3
    And no copy was made

  Scenario: A run that its backup refuses continues on its engine
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And "a" leaves after events 1 to 3, and events 4 to 5 follow
    And target "b" replies not run
    And "b" refuses the copy
    And "c" refuses the copy
    When the request is relayed
    Then the caller received each event once, in order, and the end

  Scenario: A run resumes on its backup after a crash
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And "a" streams events 1 to 3 and breaks off
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy b/key-1 at event 3

  Scenario: A stream that may not run twice ends incomplete after a crash
    Given a single stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks off
    When the request is relayed
    Then the caller received events 1 to 3 without the end
    And the request was sent to targets "a"
    And every run was closed and every placement released

  Scenario: A stream that may not run twice is not started again
    Given a single stream of events 1 to 5
    And "a" breaks off before its first event
    When the request is relayed
    Then the caller received events 1 to 0 without the end
    And the request was sent to targets "a"

  Scenario: A resumable stream continues on another engine after a crash
    Given a resumable stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks off
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from event 3

  # Guards against the text of an error in the middle of a caller's stream.
  Scenario Outline: An answer that does not stream does not continue a stream
    Given a resumable stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks off
    And target "b" replies <reply>
    And target "c" replies <reply>
    When the request is relayed
    Then the caller received events 1 to 3 without the end
    And every run was closed and every placement released

    Examples:
      | reply       |
      | status 200  |
      | status 400  |
      | status 500  |
      | not run     |
      | not reached |
      | lost        |

  Scenario: A resumable stream without an event starts again from the beginning
    Given a resumable stream of events 1 to 5
    And "a" breaks off before its first event
    And "b" streams events 1 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from the beginning

  Scenario: A stream that may have run is not reported as not run
    Given a resumable stream of events 1 to 5
    And "a" breaks off before its first event
    And target "b" replies not run
    And target "c" replies not run
    When the request is relayed
    Then the caller receives error no_target unknown

  Scenario: A stream that was refused is sent elsewhere
    Given a single stream of events 1 to 5
    And target "a" replies not run
    And "b" streams events 1 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end

  Scenario: A stream goes to another engine while a limit is used up
    Given a single stream of events 1 to 5
    And target "a" replies held
    And "b" streams events 1 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And 1 requests and 0 retries were counted

  # Guards against a run that is lost because the engine with its copy takes
  # no further request for now.
  Scenario: A copy on an engine that has used up its limit does not end the run
    Given a single stream of events 1 to 8
    And "a" leaves after events 1 to 3 and goes on to event 6
    And target "b" replies held
    And "c" streams events 7 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "c" started from copy a/copy at event 6
    And every run was closed and every placement released

  Scenario Outline: The idle timeout is longer if no other engine can take over
    Given a <kind> stream of events 1 to 4
    And "b" holds <copies>
    And "a" streams events 1 to 4 and ends
    When the request is relayed
    Then the read timeouts were <first> s at first and <later> s afterwards

    Examples:
      | kind      | copies       | first | later |
      | single    | no copy      | 10    | 10    |
      | single    | a copy ahead | 6     | 1     |
      | resumable | no copy      | 6     | 1     |

  # Guards against a stalled stream that never ends because its engine repeats
  # an event or sends comments.
  Scenario Outline: Only new events extend the idle timeout
    Given a resumable stream of events 1 to 3
    And "a" streams events 1 to 2 and then <events> every 0.4 s, 3 times
    When the request is relayed
    Then the read deadlines of "a" were <deadlines> s after the start

    Examples:
      | events        | deadlines               |
      | event 1       | 6, 1, 1, 1, 1           |
      | event 2       | 6, 1, 1, 1, 1           |
      | a comment     | 6, 1, 1, 1, 1           |
      | the next event | 6, 1, 1.4, 1.8, 2.2    |

  Scenario: Events that an engine sends again reach the caller once
    Given a resumable stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks off
    And "b" streams events 2 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end

  Scenario: An event that an engine repeats in one read reaches the caller once
    Given a resumable stream of events 1 to 3
    And "a" streams events 1 to 3, each twice, in one read and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end

  Scenario: The placement of a copy is released when the run ends first
    Given a single stream of events 1 to 4
    And "a" leaves after events 1 to 3 and ends at 4 after the first copy
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And every run was closed and every placement released

  Scenario: A run that fails after its first copy resumes from that copy
    Given a single stream of events 1 to 6
    And "a" leaves after events 1 to 3 and breaks at 4 after the first copy
    And "b" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy a/copy at event 4
    And every run was closed and every placement released

  Scenario: A run with a short answer is not copied
    Given a stream of a short answer with events 1 to 4
    And "a" leaves after events 1 to 3, and events 4 to 4 follow
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And no copy was made

  Scenario Outline: VMs copy the runs of an engine in one order
    Given an engine that reports these runs
      | key   | tokens |
      | large | 4000   |
      | small | 1000   |
      | mid   | 2000   |
    When two VMs schedule the copy of run "<key>"
    Then both copies start after <seconds> s

    Examples:
      | key     | seconds |
      | small   | 0       |
      | mid     | 0.095   |
      | large   | 0.285   |
      | missing | 0.665   |

  Scenario: Streams of one VM share the list of an engine's runs
    Given an engine that reports these runs
      | key   | tokens |
      | small | 1000   |
      | large | 4000   |
    When one VM schedules copies of runs "small" and "large" at the same time
    Then the list of runs was requested once

  Scenario Outline: The pace of an engine is measured where its events arrive
    Guards against a slow caller that makes its engine look slow.
    Given a single stream of events 1 to 12
    And "a" streams events 1 to 12, one every 50 ms, to a caller that takes <delay> ms for each
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And <gaps> gaps of 50 ms were recorded

    Examples:
      | delay | gaps |
      | 0     | 11   |
      | 30    | 0    |
