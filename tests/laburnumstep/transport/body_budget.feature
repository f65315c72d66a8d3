Feature: Bodies that are read at the same time share a budget
  Guards against memory that grows with the number of bodies, and against
  small answers that are lost to a peer that sends without end.

  Scenario Outline: The largest body is dropped when the budget is exceeded
    Given bodies of <sizes> bytes are held within a budget of 100 bytes
    When body <number> grows by <growth> bytes
    Then the bodies <dropped> are dropped and <held> bytes are held

    Examples:
      | sizes   | number | growth | dropped | held |
      | 60,30   | 1      | 10     | none    | 100  |
      | 60,30   | 1      | 11     | 1       | 30   |
      | 60,30   | 2      | 11     | 1       | 41   |
      | 60,30   | 2      | 200    | 2       | 60   |
      | 60,30,5 | 3      | 6      | 1       | 41   |

  Scenario: Any sequence of operations
    When 2000 random operations are applied to a budget of 100 bytes with seed 36
    Then the bytes held were always those of the open bodies and within the budget
    And no byte is held after the bodies are closed
