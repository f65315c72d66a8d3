Feature: Serving callers on the platform
  Guards against requests that reach a server modified, hidden in the body of
  another request or with the caller's API key, and against answers that
  misstate whether a request ran.

  Background:
    Given a VM on the platform with one server

  Scenario: A request reaches its server unchanged except for the VM's headers
    When "POST /unsafe/1?x=%20y" with body "hello" is sent
    Then the answer has status 200 and body "answer"
    And the server received "POST /unsafe/1?x=%20y" with body "hello"
    And the server received headers
      | header             | value     |
      | attempt-id         | attempt-1 |
      | tenant             | port      |
      | expect-instance    | i-1       |
      | authorization      | none      |
    And the server received a deadline of at most 4000 ms

  Scenario Outline: Callers cannot send headers that only the VM may set
    When a request is sent with header "<header>: <value>"
    Then the server received header "<header>" as "<seen>"

    Examples:
      | header          | value          | seen      |
      | Tenant          | other          | port      |
      | Expect-Instance | i-9            | i-1       |
      | Hold            | h              | none      |
      | Pin-Ms          | 100            | none      |
      | Kv-Backup       | 127.0.0.1:1    | none      |
      | Kv-From         | 127.0.0.1:1/h  | none      |
      | Kv-Fetch        | 127.0.0.1:1    | none      |
      | Connection      | x-own          | none      |
      | X-Own           | kept           | kept      |

  Scenario Outline: A refused request has the status of its error
    When "<method> <path>" is sent with "<change>"
    Then the answer has status <status>
    And the server received 0 requests

    Examples:
      | method | path     | change                     | status |
      | POST   | /none/1  |                            | 404    |
      | POST   | /safe    |                            | 404    |
      | POST   | /safe/1  | Authorization: Token wrong | 401    |
      | POST   | /safe/1  | Authorization: Basic key-1 | 401    |
      | POST   | /safe/1  | Host: other.example        | 404    |

  Scenario: A public route needs no key
    When "GET /open/1" is sent with "Authorization: Token wrong"
    Then the answer has status 200

  Scenario: A body over the limit is refused
    When a body of 1001 bytes is sent
    Then the answer has status 413
    And the server received 0 requests

  Scenario: A request with two lengths is refused and its connection closed
    When a request with a length and chunked encoding is sent before another one
    Then the answer has status 400
    And the connection is closed
    And the server received 0 requests

  Scenario Outline: A server that sends bytes without end harms no VM
    Guards against answers in trouble that fill the memory of a VM.
    Given the server answers <status> with "<header>: <value>" and bytes without end
    When "POST /unsafe/1" is sent with ""
    Then the answer has status <seen>
    And the server has sent less than <limit> MB

    Examples:
      | status | header       | value | seen | limit |
      | 200    | X-Any        | 1     | 502  | 12    |
      | 503    | Not-Executed | 1     | 503  | 8     |

  Scenario Outline: Only valid answers of servers reach the caller
    Given the server answers <status> with "<header>: <value>"
    When "POST /unsafe/1" is sent with ""
    Then the answer has status <seen>

    Examples:
      | status | header           | value | seen |
      | 200    | X-Any            | 1     | 200  |
      | 404    | X-Any            | 1     | 404  |
      | 500    | X-Any            | 1     | 500  |
      | 503    | Not-Executed     | 1     | 503  |
      | 421    | Not-Executed     | 1     | 503  |
      | 200    | Attempt-Id       | other | 502  |
      | 200    | Content-Encoding | gzip  | 502  |
      | 200    | Response-Stamp   |       | 502  |

  Scenario: A refusal states when the caller may resend
    Given the server answers 503 with "Not-Executed: 1"
    When "POST /unsafe/1" is sent with ""
    Then the answer has header "retry-after"

  Scenario: A request without an answer at its deadline ends with 504
    Given the server does not answer
    When "POST /unsafe/1" is sent with "Deadline-Remaining: 200"
    Then the answer has status 504
    And the server sees its caller disconnect

  Scenario: A draining server receives no new requests
    Given the server registers as draining
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 503
    And the server received 0 requests

  Scenario: A newer version comes into force and an older one does not
    Given version 3 of the configuration is written without routes
    And version 2 of the configuration is written with all routes
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 404

  # Guards against requests that are passed on by a VM which ends before they
  # do; its grace time is 4 s.
  Scenario Outline: A stopping VM serves what ends in time and refuses the rest
    Given the VM is ready
    When the VM is asked to stop
    Then the VM is not ready
    When "POST <path>" is sent with "Deadline-Remaining: <deadline>"
    Then the answer has status <status>
    And the answer has header "connection"
    And the server received <count> requests
    And the VM shuts down

    Examples:
      | path      | deadline | status | count |
      | /unsafe/1 | 1000     | 200    | 1     |
      | /safe/1   | 1000     | 200    | 1     |
      | /unsafe/1 | 4000     | 503    | 0     |
      | /safe/1   | 4000     | 503    | 0     |
      | /unsafe/1 | 60000    | 503    | 0     |
      | /plan/1   | 1000     | 503    | 0     |

  Scenario: A VM without a configuration is not ready and refuses requests
    Given a VM on the platform without a configuration
    Then the VM is not ready
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 503

  # Guards against a shutdown that a request delays, and against a request that
  # is cut without an answer at its end.
  Scenario: A request that outlasts the grace time is answered before the end
    Given the server does not answer
    And a request is waiting with a deadline in 60 seconds
    When the VM is asked to stop
    Then the VM shuts down before the server answers
    And the waiting caller has received status 502

  Scenario: Metrics count requests by outcome
    When "POST /unsafe/1" is sent with ""
    And "GET /open/1" is sent with "Authorization: Token wrong"
    And "POST /nowhere/1" is sent with ""
    Then the metrics have "laburnumstep_callers_calls_answered_total 2.0"
    And the metrics have "laburnumstep_callers_calls_seconds_count 2.0"
    And the metrics have "laburnumstep_callers_refused_unknown_route_total 1.0"
    And the metrics have "laburnumstep_targets_registered 1.0"

  Scenario: A VM whose metrics port is in use runs without metrics
    Given a port that is in use
    When a VM is built with that port for metrics
    Then the VM has no address for metrics
