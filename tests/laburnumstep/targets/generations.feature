Feature: A caller receives each token once and from one generation
  Guards against answers with repeated, missing or mixed tokens, and against
  incomplete answers that look complete, after faults of an engine or of the
  link to it.

  Background:
    Given two engines with answers of 60 tokens

  Scenario Outline: A fault of the engine or its link
    Given the first engine has the fault "<fault>"
    When a caller requests a generation with "<delivery>" delivery
    Then the answer is "<answer>"
    And every token was received once and in order from one generation
    And the answer came from the "<engine>" engine

    Examples: The answer is complete in spite of the fault
      | fault                | delivery | answer | engine |
      | none                 | stream   | whole  | first  |
      | none                 | whole    | whole  | first  |
      | repeat_events        | stream   | whole  | first  |
      | duplicate_last_token | stream   | whole  | first  |
      | refuses              | stream   | whole  | second |
      | crash before tokens  | stream   | whole  | second |
      | crash after tokens   | whole    | whole  | second |
      | out_of_memory_at     | whole    | whole  | second |
      | link cut once        | stream   | whole  | first  |
      | link stalls          | stream   | whole  | first  |

    Examples: The answer is incomplete and ends with an error
      | fault                | delivery | answer          | engine |
      | crash after tokens   | stream   | generation_lost | first  |
      | out_of_memory_at     | stream   | generation_lost | first  |
      | cancelled            | stream   | generation_cancelled | first |
