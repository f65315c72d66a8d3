Feature: Operators read status and decisions and order drains
  Guards against orders without the operators' key, against malformed orders
  that take effect, and against a decision log that grows without bound.

  Background:
    Given the operators' interface of vm-1 with capacity for 3 decisions

  Scenario: The status shows members, targets and the configuration
    When an operator reads the status
    Then the response status is 200
    And it shows version 7, member vm-1 and "engine-1" leaving by "operator"

  Scenario: A request that was rerun has both decisions in order
    Given decisions for "a" on engine-1, "b" on engine-2, "a" on engine-3
    When an operator reads the decisions for "a"
    Then the response status is 200
    And it shows targets "engine-1, engine-3"

  Scenario: The oldest decisions are removed first
    Given decisions for "a" on engine-1, "b" on engine-2, "a" on engine-3
    And 2 more decisions
    When an operator reads the decisions for "b"
    Then the response status is 404
    When an operator reads the decisions for "a"
    Then it shows targets "engine-3"

  Scenario Outline: An order needs the operators' key
    When a drain is ordered with authorization "<given>"
    Then the response status is <status>
    And <count> drains were executed

    Examples:
      | given                       | status | count |
      | Bearer operators-test-key   | 202    | 1     |
      | none                        | 401    | 0     |
      | Bearer another-key          | 401    | 0     |
      | Bearer operators-test-key-2 | 401    | 0     |
      | Basic operators-test-key    | 401    | 0     |
      | operators-test-key          | 401    | 0     |
      | Bearer operators-tést-key   | 401    | 0     |

  Scenario Outline: A malformed order is refused and has no effect
    When a drain is ordered with body '<body>'
    Then the response status is <status>
    And 0 drains were executed

    Examples:
      | body                                 | status |
      | {"target": "engine-9"}               | 404    |
      | {"target": "engine-1", "vm": "vm-1"} | 400    |
      | {"target": "engine-1", "force": 1}   | 400    |
      | {"targets": "engine-1"}              | 400    |
      | {"vm": "vm-1", "vm": "vm-2"}         | 400    |
      | {"vm": ""}                           | 400    |
      | {"vm": 7}                            | 400    |
      | {}                                   | 400    |
      | ["engine-1"]                         | 400    |
      | not JSON                             | 400    |
      | 1048577 bytes                        | 400    |

  Scenario: An operator refuses a part, and clears what the VM has blamed
    Given the VM has blamed parts "f, dead" of model "m"
    When an operator orders '{"refuse": ["part:m:x"], "until": 9999999999}'
    Then the response status is 202
    And the culprits are "part:m:x; part:m:dead,part:m:f"
    When an operator orders '{"clear": ["part:m:dead"]}'
    Then the culprits are "part:m:x; part:m:f"
    When an operator orders '{"clear": ["part:m:x"]}'
    Then the culprits are "part:m:f"

  Scenario Outline: A malformed order about culprits has no effect
    When an operator orders '<body>'
    Then the response status is 400
    And the culprits are ""

    Examples:
      | body                                                    |
      | {"refuse": ["part:m:x"]}                                |
      | {"refuse": ["part:m"], "until": 9999999999}             |
      | {"refuse": [], "until": 9999999999}                     |
      | {"refuse": ["part:m:x"], "until": "tomorrow"}           |
      | {"refuse": ["part:m:x"], "until": 9999999999, "x": 1}   |
      | {"clear": "part:m:x"}                                   |
      | {"clear": [7]}                                          |
      | []                                                      |

  Scenario: A VM is drained
    When a drain is ordered with body '{"vm": "vm-1"}'
    Then the response status is 202
    And 1 drains were executed

  Scenario Outline: Reading needs the operators' key too
    When "<path>" is read without the key
    Then the response status is 401

    Examples:
      | path              |
      | /v1/status        |
      | /v1/decisions/abc |
      | /v1/culprits      |
