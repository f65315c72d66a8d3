Feature: Operations of plain services are retried only if it is safe
  Guards against a posting that is applied twice after a fault of a server,
  and against the outcome "not_run" for an operation that a server may have
  started.

  Background:
    Given 2 servers of one service

  Scenario Outline: A fault of the first service server
    Given the first service server <fault>
    When a caller calls operation "<operation>"
    Then the call ends with <answer>
    And the operation took effect <effects> times

    Examples:
      | fault              | operation | answer               | effects |
      | works              | post      | an answer            | 1       |
      | refuses            | post      | an answer            | 1       |
      | is not reachable   | post      | an answer            | 1       |
      | loses its reply    | post      | the outcome unknown  | 1       |
      | crashes            | post      | the outcome unknown  | 0       |
      | fails with 503     | post      | the outcome unknown  | 0       |
      | loses its reply    | balance   | an answer            | 0       |
      | crashes            | balance   | an answer            | 0       |

  Scenario Outline: A fault of both servers
    Given the first service server <fault>
    And the second service server <other>
    When a caller calls operation "<operation>"
    Then the call ends with <answer>
    And the operation took effect <effects> times

    Examples:
      | fault            | other            | operation | answer              | effects |
      | refuses          | refuses          | post      | the outcome not_run | 0       |
      | is not reachable | refuses          | post      | the outcome not_run | 0       |
      | refuses          | loses its reply  | post      | the outcome unknown | 1       |
      | refuses          | is not reachable | balance   | the outcome not_run | 0       |
      | loses its reply  | refuses          | balance   | the outcome unknown | 0       |

  Scenario: Retries are limited by the budget
    Given the first service server refuses
    And the retry budget of calls is empty
    When a caller calls operation "post"
    Then the call ends with the outcome not_run
    And the operation took effect 0 times

  Scenario: An outcome query finds the result after a lost reply
    Given the first service server loses its reply
    And the service answers outcome queries
    When a caller calls operation "post"
    Then the call ends with an answer
    And the operation took effect 1 times

  Scenario: A claim is settled although the caller has disconnected
    Given the first service server delays operations
    When a caller calls operation "post" and disconnects while it runs
    And the first service server continues
    Then the operation took effect 1 times
    And the claim is settled
