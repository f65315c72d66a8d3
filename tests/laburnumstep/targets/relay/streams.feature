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

  Scenario: An engine that answers nothing delays a run for a bounded time
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

  # Guards against a run that breaks off with its engine although its route
  # lets it start anew.
  Scenario Outline: A run that no engine takes starts anew before its end
    Given a <kind> stream of events 1 to 7
    And its route allows <attempts> attempts
    And engine "a" stops after <notice> s
    And "a" leaves after events 1 to 3 and sends events 4 and 5 every 0.45 s
    And "b" refuses the copy
    And "c" refuses the copy
    And "b" streams events 6 to 7 and ends
    When the request is relayed
    Then the request was sent to targets "<targets>"
    And <open> earlier runs were open at the last of them

    # Without a time or with a later one, "a" breaks off before it stops.
    Examples:
      | kind      | attempts | notice | targets | open |
      | resumable | 2        | 1.3    | a,b     | 1    |
      | resumable | 2        | 1.5    | a,b     | 0    |
      | resumable | 2        | no     | a,b     | 0    |
      | resumable | 1        | 1.3    | a       | 0    |
      | single    | 1        | 1.3    | a       | 0    |

  Scenario: A run is kept on its engine until it has started anew
    Given a resumable stream of events 1 to 7
    And engine "a" stops after 1.3 s
    And "a" leaves after events 1 to 3 and sends events 4 and 5 every 0.45 s
    And "b" refuses the copy
    And "c" refuses the copy
    And "b" streams events 6 to 7 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from event 5
    And the run on "a" was still open when the request was sent to "b"
    And every run was closed and every placement released

  # Guards against a loop of orders to an engine that is gone.
  Scenario: An engine that cannot be reached is not asked for copies at once
    Given a single stream of events 1 to 7
    And "a" leaves after events 1 to 3 and sends events 4 and 5 every 0.45 s
    And "a" cannot be reached for copies
    When the request is relayed
    Then at most 10 copies were ordered

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

  # Guards against a request that runs on more targets than its route allows.
  Scenario Outline: A resumed stream uses no more attempts than its route allows
    Given a resumable stream of events 1 to 5
    And its route allows <attempts> attempts
    And "a" streams events 1 to 2 and breaks off
    And "b" streams events 3 to 3 and breaks off
    And "c" streams events 4 to 5 and ends
    When the request is relayed
    Then the request was sent to targets "<targets>"

    Examples:
      | attempts | targets |
      | 1        | a       |
      | 2        | a,b     |
      | 3        | a,b,c   |

  # Guards against a run that is sent to an engine that takes no new work.
  Scenario: A run does not go on at a backup that leaves
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And "b" is leaving
    And "a" streams events 1 to 3 and breaks off
    When the request is relayed
    Then the request was sent to targets "a"

  Scenario: A run does not go on at a copy whose engine has begun to leave
    Given a single stream of events 1 to 6
    And "a" leaves after events 1 to 3 and goes on to event 6
    And all other engines leave after the first copy
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a"

  # Guards against an engine without a copy that is asked again and again.
  Scenario: A backup that has refused the run is not asked again
    Given a single stream of events 1 to 5
    And callers wait 7.2 s
    And "b" holds a copy ahead
    And engine "a" does not answer
    And target "b" replies not run
    And "a" streams events 1 to 3, is silent for 3 s, and breaks off
    When the request is relayed
    Then the request was sent to targets "a,b"

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

  Scenario Outline: A stream that was not sent goes to another engine
    Given a single stream of events 1 to 5
    And target "a" replies <reply>
    And "b" streams events 1 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And 1 requests and 0 retries were counted

    Examples:
      | reply  |
      | held   |
      | barred |

  # Guards against a run that is lost because the engine with its copy takes
  # no further request for now.
  Scenario Outline: A copy where nothing may be sent does not end the run
    Given a single stream of events 1 to 8
    And "a" leaves after events 1 to 3 and goes on to event 6
    And target "b" replies <reply>
    And "c" streams events 7 to 8 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "c" started from copy a/copy at event 6
    And every run was closed and every placement released

    Examples:
      | reply  |
      | held   |
      | barred |

  # Guards against a silent stream that never counts as silent because its
  # engine repeats an event or sends comments.
  Scenario Outline: Only new events end a silence
    Given a resumable stream of events 1 to 3
    And "a" streams events 1 to 2 and then <events> every 0.4 s, 3 times
    When the request is relayed
    Then the read deadlines of "a" were <deadlines> s after the start
    And the run was moved from "a" <moves> times

    Examples:
      | events         | deadlines               | moves |
      | event 1        | 0.5, 0.5, 0.5, 1, 1.6   | 1     |
      | event 2        | 0.5, 0.5, 0.5, 1, 1.6   | 1     |
      | a comment      | 0.5, 0.5, 0.5, 1, 1.6   | 1     |
      | the next event | 0.5, 0.5, 0.9, 1.3, 1.7 | 0     |

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
