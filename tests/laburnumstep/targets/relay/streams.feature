Feature: Streams are carried on when their engine leaves or fails
  Guards against events that are missing, come twice or belong to another
  run, and against a broken stream that looks complete.

  Scenario: A run is copied, stopped and goes on at the copy
    Given a single stream of events 1 to 6
    And "a" streams events 1 to 3 and leaves, with events 4 to 4 to come
    And "b" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from copy a/copy at event 4
    And every run was closed and every place given back

  Scenario: Another engine takes the copy that the first one refuses
    Given a single stream of events 1 to 6
    And "a" streams events 1 to 3 and leaves, with events 4 to 4 to come
    And "b" refuses the first copy
    And "c" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "c" began from copy a/copy at event 4

  Scenario: A run that stopped in vain goes on where it was
    Given a single stream of events 1 to 6
    And "a" streams events 1 to 3 and leaves, with events 4 to 4 to come
    And "b" refuses the second copy after the run has stopped
    And "a" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "a" began from copy a/stopped at event 4

  Scenario: A run whose second copy failed goes on at its engine
    Given a single stream of events 1 to 4
    And "a" streams events 1 to 3 and leaves, with events 4 to 4 to come
    And "b" refuses the second copy
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And targets "a" were asked

  Scenario: A copy kept ahead carries the run on at the notice
    Given a single stream of events 1 to 5
    And "b" keeps a copy ahead
    And "a" streams events 1 to 3 and leaves, with events 4 to 5 to come
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from copy b/key-1 at event 3
    And no copy was made

  Scenario: A run whose copy ahead is refused goes on at its engine
    Given a single stream of events 1 to 5
    And "b" keeps a copy ahead
    And "a" streams events 1 to 3 and leaves, with events 4 to 5 to come
    And target "b" replies not run
    And "b" refuses the first copy
    And "c" refuses the first copy
    When the request is relayed
    Then the caller has each event once, in order, and the end

  Scenario: A copy kept ahead carries the run on after a crash
    Given a single stream of events 1 to 5
    And "b" keeps a copy ahead
    And "a" streams events 1 to 3 and breaks
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from copy b/key-1 at event 3

  Scenario: A stream that may not run twice ends broken after a crash
    Given a single stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks
    When the request is relayed
    Then the caller has events 1 to 3 and no end
    And targets "a" were asked
    And every run was closed and every place given back

  Scenario: A stream that may not run twice is not begun again
    Given a single stream of events 1 to 5
    And "a" breaks before its first event
    When the request is relayed
    Then the caller has events 1 to 0 and no end
    And targets "a" were asked

  Scenario: A resumable stream goes on at another engine after a crash
    Given a resumable stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from event 3

  Scenario: A resumable stream begins again that had no event
    Given a resumable stream of events 1 to 5
    And "a" breaks before its first event
    And "b" streams events 1 to 5 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from the beginning

  Scenario: A stream that may have run is not said not to have run
    Given a resumable stream of events 1 to 5
    And "a" breaks before its first event
    And target "b" replies not run
    And target "c" replies not run
    When the request is relayed
    Then the caller gets error no_target unknown

  Scenario: A stream that was refused is sent elsewhere
    Given a single stream of events 1 to 5
    And target "a" replies not run
    And "b" streams events 1 to 5 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end

  Scenario Outline: An engine may be silent longer where no other takes over
    Given a <kind> stream of events 1 to 4
    And "b" keeps <copies>
    And "a" streams events 1 to 4 and ends
    When the request is relayed
    Then reads waited <first> s for the first event and <later> s afterwards

    Examples:
      | kind      | copies       | first | later |
      | single    | no copy      | 10    | 10    |
      | single    | a copy ahead | 6     | 1     |
      | resumable | no copy      | 6     | 1     |

  Scenario: Events that an engine sends again reach the caller once
    Given a resumable stream of events 1 to 5
    And "a" streams events 1 to 3 and breaks
    And "b" streams events 2 to 5 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end

  Scenario: The place at a copy is given back when the run ends before
    Given a single stream of events 1 to 4
    And "a" streams events 1 to 3 and leaves, and ends with event 4
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And every run was closed and every place given back

  Scenario: A run that breaks after its first copy goes on from that
    Given a single stream of events 1 to 6
    And "a" streams events 1 to 3 and leaves, and breaks after event 4
    And "b" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from copy a/copy at event 4
    And every run was closed and every place given back

  Scenario: A run that breaks after a second copy in vain goes on from the first
    Given a single stream of events 1 to 6
    And "a" streams events 1 to 3 and leaves, breaking behind event 4
    And "b" refuses the second copy
    And "b" streams events 5 to 6 and ends
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And "b" began from copy a/copy at event 4
    And every run was closed and every place given back

  Scenario: A short answer ends where it runs
    Given a stream of few tokens with events 1 to 4
    And "a" streams events 1 to 3 and leaves, with events 4 to 4 to come
    When the request is relayed
    Then the caller has each event once, in order, and the end
    And no copy was made

  Scenario Outline: VMs copy the runs of an engine in one order
    Given an engine that lists runs
      | key   | tokens |
      | large | 4000   |
      | small | 1000   |
      | mid   | 2000   |
    When two VMs ask for the turn of "<key>"
    Then both wait <seconds> s

    Examples:
      | key     | seconds |
      | small   | 0       |
      | mid     | 0.16    |
      | large   | 0.43    |
      | missing | 0.92    |

  Scenario: Streams of one VM share the list of an engine's runs
    Given an engine that lists runs
      | key   | tokens |
      | small | 1000   |
      | large | 4000   |
    When one VM asks for the turns of "small" and "large" at once
    Then the engine was asked once
