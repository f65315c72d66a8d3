Feature: A silent run is taken by another engine only if its own has stopped
  Guards against two engines that work on one run, against streams that end
  because of a refusal while their engine is there, and against callers that
  disconnect before a dead engine is noticed.

  Scenario Outline: What is done about a silent run
    Given a run silent for <silent> s whose caller waits <patience> s
    And its engine's answer is <answer>
    And it <options>
    When the silence is judged
    Then the decision is <decision>

    # A route without objectives has callers that wait for 2 s.
    Examples: sound engines
      | silent | patience | answer           | options               | decision          |
      | 0.3    | 2        | not asked        | has a copy            | wait until 0.5    |
      | 0.5    | 2        | not asked        | has a copy            | wait until 0.9    |
      | 1.5    | 7.2      | listed           | has a copy            | wait until 1.9    |
      | 4      | 7.2      | listed           | has a copy            | wait until 5      |
      | 4      | 7.2      | no runs known    | has a copy            | wait until 5      |
      | 6      | 7.2      | listed           | has a copy            | wait until 6.2    |
      | 6.2    | 7.2      | listed           | has a copy            | stop first        |
      | 6.2    | 7.2      | listed           | may not be moved      | wait until 7.75   |
      | 6.2    | 7.2      | listed           | was refused until 6.7 | wait until 6.7    |
      | 0.9    | 2        | not listed       | has a copy            | wait until 1      |
      | 1      | 2        | not listed       | has a copy            | stop first        |
      | 10     | 7.2      | listed           | has a copy            | give up           |
      | 10     | 12       | listed           | has a copy            | wait until 11     |

    Examples: engines that are gone
      | silent | patience | answer           | options               | decision          |
      | 0.9    | 2        | unanswered once  | has a copy            | wait until 1.3    |
      | 1.3    | 2        | unanswered twice | has a copy            | continue          |
      | 0.6    | 2        | refused          | has a copy            | continue          |
      | 1.3    | 2        | unanswered twice | has no copy           | wait until 1.7    |
      | 5.9    | 2        | listed           | has not begun         | wait until 6      |
      | 6      | 2        | listed           | has not begun         | give up           |

  Scenario Outline: The patience of callers follows from the route's objectives
    Given a route with objectives <first> and <gap> s
    Then its callers wait <patience> s

    Examples:
      | first | gap  | patience |
      | none  | none | 2        |
      | 0.25  | none | 2        |
      | 1.8   | 0.18 | 7.2      |
      | none  | 0.5  | 4        |
      | inf   | none | 60       |

  Scenario Outline: A preempted run stays at its engine
    Given a <kind> stream of events 1 to 5
    And callers wait 7.2 s
    And "b" holds a copy ahead
    And engine "a" <answer>
    And "a" streams events 1 to 3, is silent for <seconds> s, and ends at 5
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a"

    Examples:
      | kind      | answer             | seconds |
      | single    | lists the run      | 2.1     |
      | resumable | lists the run      | 4       |
      | single    | lists no runs      | 4       |
      | single    | answers once late  | 4       |
      | single    | lists the run      | 9       |

  # Guards against a caller that disconnects (after 2 s) before its run goes on.
  # The fakes answer at once; an engine that is gone takes 0.3 s more.
  Scenario Outline: A run whose engine is gone goes on at its backup in time
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And engine "a" <answer>
    And "a" streams events 1 to 3, is silent for 30 s, and ends at 3
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy b/key-1 at event 3
    And the run on "a" was still open when the request was sent to "b"
    And <seconds> s passed

    Examples:
      | answer              | seconds |
      | does not answer     | 0.9     |
      | refuses connections | 0.5     |

  Scenario: A refused continuation does not end a stream whose engine returns
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And engine "a" does not answer
    And "a" streams events 1 to 3, is silent for 3 s, and ends at 5
    And target "b" replies not run
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a,b"

  Scenario Outline: A run that its engine does not list is stopped first
    Given a single stream of events 1 to 5
    And engine "a" lists other runs
    And a move from "a" <result>
    And "a" streams events 1 to 3, is silent for 30 s, and ends at 3
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy a/moved at event 3
    And every run was closed and every placement released

    Examples:
      | result   |
      | succeeds |

  Scenario: A run that its engine does not have goes on at its backup
    Given a single stream of events 1 to 5
    And "b" holds a copy ahead
    And engine "a" lists other runs
    And a move from "a" finds no run
    And "a" streams events 1 to 3, is silent for 30 s, and ends at 3
    And "b" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "b" started from copy b/key-1 at event 3

  # Guards against a stream that ends because an engine says of a preempted run
  # that it does not have it.
  Scenario: A run that its engine does not have is read on without a backup
    Given a single stream of events 1 to 5
    And engine "a" lists other runs
    And a move from "a" finds no run
    And "a" streams events 1 to 3, is silent for 3 s, and ends at 5
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And the request was sent to targets "a"

  Scenario: A run that was stopped but not sent goes on at its engine
    Given a single stream of events 1 to 5
    And engine "a" lists other runs
    And a move from "a" fails after the run was stopped
    And "a" streams events 1 to 3, is silent for 30 s, and ends at 3
    And "a" streams events 4 to 5 and ends
    When the request is relayed
    Then the caller received each event once, in order, and the end
    And "a" started from copy a/kept at event 3

  # Guards against an incomplete answer that looks complete.
  Scenario: The end of a run that may have been stopped is not its end marker
    Given a single stream of events 1 to 5
    And engine "a" lists other runs
    And a move from "a" gets no answer
    And "a" streams events 1 to 3, is silent for 1.2 s, and ends at 4
    When the request is relayed
    Then the caller received events 1 to 4 without the end

  Scenario: Silent streams of one engine share its answer
    Given an engine that reports these runs
      | key   | tokens |
      | one   | 1000   |
      | other | 4000   |
    When runs "one" and "other" ask for the list of "a" at the same time
    Then the list of runs was requested once
