Feature: VMs copy the runs of a leaving engine to different engines
  Guards against copies that are refused because all VMs choose the engine that
  is the emptiest in their reports.

  Scenario Outline: The engine for a copy is drawn by the room that remains
    Given engines with room in tokens
      | name | near | later    | now    |
      | a    | yes  | <later>  | <now>  |
      | b    | no   | <farther> | 4000  |
    Then copies go to <chosen>

    Examples:
      | later | now  | farther | chosen |
      | 100   | 2000 | 3000    | a      |
      | -1    | 2000 | 3000    | b      |
      | -1    | 2000 | -1      | a      |
      | -1    | -1   | -1      | b      |

  Scenario: VMs that see the same reports share the room of all engines
    Given 4 engines with 9000, 6000, 4000 and 3000 tokens free
    When 5 VMs copy 2 runs of 1500 tokens each at the same time
    Then on average at most 1 of the copies are refused

  Scenario: Copies on their way count with their whole memory
    Given a VM that has begun to copy a run of 900 and 600 tokens to an engine
    Then the engine has room for 1500 tokens less
    And before it had 9600 of 10000 tokens free with another run of 100 tokens
