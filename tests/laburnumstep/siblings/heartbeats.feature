Feature: Heartbeats tell which siblings do not answer
  Guards against siblings that are blamed for a pause of this VM, and
  against answers that are taken for another sibling's.

  Scenario Outline: The monitor after a series of events
    Given a monitor that watches vm-2 at "address-2"
    When these happen: <events>
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
