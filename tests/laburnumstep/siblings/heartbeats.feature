Feature: Heartbeats detect siblings that do not answer
  Guards against reports of live siblings after this VM itself was paused,
  and against an answer of one sibling that counts for another.

  Scenario Outline: State of a watched sibling after a series of events
    Given a monitor that watches vm-2 at "address-2"
    When these events occur: <events>
    Then vm-2 is "<verdict>"

    Examples:
      | events                                         | verdict    |
      | beat, wait 1, beat, wait 1, beat               | answering  |
      | beat, wait 1, beat, wait 1, beat, wait 1       | unanswered |
      | beat, wait 1, answer 1, beat, wait 2, beat     | answering  |
      | beat, wait 1, beat, answer 1, wait 2, beat     | answering  |
      | beat, wait 1, beat, answer 1, wait 2, wait 1   | unanswered |
      | beat, wait 20, beat                            | answering  |
      | beat, wait 20, beat, wait 1, beat, wait 2      | unanswered |
      | beat, wait 2, other answers 1, wait 1          | unanswered |
      | beat, wait 2, alive, beat, wait 1              | answering  |
      | beat, wait 2, moved, beat, wait 1              | answering  |
      | beat, wait 2, renamed, beat, wait 1            | answering  |
