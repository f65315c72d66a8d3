Feature: Each token reaches its caller once and from one generation
  Guards against answers that repeat, lose or mix tokens, or that look whole
  when they are not, whatever the engine or the link to it does.

  Background:
    Given two engines with answers of 60 tokens

  Scenario Outline: A fault on the engine's side
    Given the first engine has the fault "<fault>"
    When a caller asks for a generation with "<delivery>" delivery
    Then the answer is "<answer>"
    And every token came once and in order from one generation
    And the answer came from the "<engine>" engine

    Examples: The answer is whole in spite of the fault
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

    Examples: The answer cannot be whole and does not look so
      | fault                | delivery | answer          | engine |
      | crash after tokens   | stream   | generation_lost | first  |
      | out_of_memory_at     | stream   | generation_lost | first  |
      | cancelled            | stream   | generation_cancelled | first |
