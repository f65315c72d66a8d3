Feature: Runs are copied to engines that keep their objective
  Guards against a run that is moved from a leaving engine to a slow one. It
  is late there, and the slow engine answers so late that the engine before
  still works on the run.

  Scenario Outline: A run moves to a slow engine only if no other has room
    Given a leaving engine, <fast> fast engines and 3 slow ones
    And the fast engines <room>
    When 50 destinations are drawn for a stream <objective>
    Then <slow> of them are slow engines

    Examples:
      | fast | room      | objective            | slow |
      | 3    | have room | with a gap objective | none |
      | 3    | are full  | with a gap objective | all  |
      | 0    | have room | with a gap objective | all  |
      | 3    | have room | without objective    | some |
