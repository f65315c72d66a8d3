Feature: The callers' front end refuses invalid requests with their outcome
  Guards against access to another workspace's streams, against requests that
  are accepted despite malformed fields, and against errors without an outcome.

  Background:
    Given a front end with workspaces "callao" and "paita"

  Scenario Outline: Credentials
    When a generation is requested with credentials "<credentials>"
    Then the status is <status> and the code is "<code>" with outcome "not_run"

    Examples:
      | credentials               | status | code         |
      | none                      | 401    | unauthorized |
      | Bearer callao:wrong       | 401    | unauthorized |
      | Bearer callao:            | 401    | unauthorized |
      | Bearer nobody:callao-key  | 401    | unauthorized |
      | Bearer paita:callao-key   | 401    | unauthorized |
      | Basic callao:callao-key   | 401    | unauthorized |
      | Bearer expired:expired-key | 401   | unauthorized |

  Scenario Outline: Malformed requests
    When a generation is requested with the body "<body>"
    Then the status is 400 and the code is "bad_request" with outcome "not_run"
    And no generation was started

    Examples:
      | body                                              |
      | no JSON                                           |
      | []                                                |
      | {"model": "planner"}                              |
      | {"model": "planner", "prompt": 5}                 |
      | {"model": "planner", "prompt": "x", "colour": 1}  |
      | {"model": "planner", "prompt": "x", "prompt": "y"} |
      | {"model": "planner", "prompt": "x", "max_tokens": 0} |
      | {"model": "planner", "prompt": "x", "max_tokens": true} |
      | {"model": "planner", "prompt": "x", "deadline": NaN} |
      | {"model": "planner", "prompt": "x", "delivery": "soon"} |
      | {"model": "planner", "prompt": "x", "priority": "high"} |
      | oversized                                         |
      | truncated JSON                                    |

  Scenario Outline: Request keys
    When a generation is requested with the key "<key>"
    Then the status is 400 and the code is "bad_request" with outcome "not_run"

    Examples:
      | key                          |
      | missing                      |
      | given twice                  |
      | abc                          |
      | 1796371640196-UPPERCASE      |
      | 1796371640196-short          |

  Scenario Outline: Handles of streams
    Given "callao" has the handle of a stream
    When "<workspace>" requests "<action>" with the "<handle>" handle
    Then the status is <status> and the code is "<code>"

    Examples:
      | workspace | action | handle  | status | code           |
      | callao    | resume | valid   | 200    | none           |
      | callao    | cancel | valid   | 200    | none           |
      | paita     | resume | valid   | 403    | handle_invalid |
      | paita     | cancel | valid   | 403    | handle_invalid |
      | callao    | resume | forged  | 403    | handle_invalid |
      | callao    | cancel | forged  | 403    | handle_invalid |
      | callao    | resume | expired | 403    | handle_invalid |
      | callao    | resume | of another key | 403 | handle_invalid |

  Scenario: A caller cannot raise its own priority
    When "callao" requests a generation with priority 99
    Then the generation was started with priority 2

  Scenario: A failure in the middle of a stream is never reported as its completion
    Given generations fail after 3 tokens
    When "callao" requests a generation
    Then the stream has 3 tokens, an error with outcome "ran" and no end

  Scenario: A VM without configuration is not ready
    Given the VM knows no configuration
    Then the VM is not ready
    When a generation is requested with credentials "Bearer callao:callao-key"
    Then the status is 503 and the code is "no_configuration" with outcome "not_run"

  Scenario: A stopping VM finishes its streams and accepts no new ones
    Given "callao" reads a stream that pauses
    When the VM begins to stop
    Then the VM is not ready
    And a further generation is refused with "vm_stopping" and outcome "not_run"
    When the stream continues
    Then the stream is complete
    And the VM has stopped

  Scenario: At the stop deadline a caller is asked to resume elsewhere
    Given "callao" reads a stream that pauses
    When the VM begins to stop
    And the stop deadline passes
    Then the stream ends with the error "vm_stopping"
    And the VM has stopped

  Scenario Outline: A call refused before its key lookup has an unknown outcome
    Given <reason>
    When a call is sent with the body "<body>"
    Then the status is <status> and the code is "<code>" with outcome "<outcome>"

    Examples:
      | reason                         | body     | status | code              | outcome |
      | the VM knows no configuration  | whole    | 503    | no_configuration  | unknown |
      | the VM begins to stop          | whole    | 503    | vm_stopping       | unknown |
      | the front end as it is         | late     | 504    | deadline_exceeded | unknown |
      | the front end as it is         | no JSON  | 400    | bad_request       | not_run |
