Feature: Callers are served on the platform
  Guards against requests that reach a server changed, smuggled or with a
  key, and against answers that promise what is not true.

  Background:
    Given a VM on the platform with one server

  Scenario: A request reaches its server unchanged, with what the VM sets
    When "POST /unsafe/1?x=%20y" with body "hello" is sent
    Then the answer has status 200 and body "answer"
    And the server got "POST /unsafe/1?x=%20y" with body "hello"
    And the server got headers
      | header             | value     |
      | attempt-id         | attempt-1 |
      | tenant             | port      |
      | expect-instance    | i-1       |
      | authorization      | none      |
    And the server got at most 4000 ms

  Scenario Outline: Headers that are the VM's to set do not come from callers
    When a request is sent with header "<header>: <value>"
    Then the server got header "<header>" as "<seen>"

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

  Scenario Outline: Requests that are not served get their status
    When "<method> <path>" is sent with "<change>"
    Then the answer has status <status>
    And the server got 0 requests

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
    And the server got 0 requests

  Scenario: A request with two lengths is refused and its connection closed
    When a request with a length and chunks is sent before another one
    Then the answer has status 400
    And the connection is closed
    And the server got 0 requests

  Scenario Outline: Answers of servers
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

  Scenario: A refusal names the time to come back
    Given the server answers 503 with "Not-Executed: 1"
    When "POST /unsafe/1" is sent with ""
    Then the answer has header "retry-after"

  Scenario: A request that outlasts its deadline ends with 504
    Given the server does not answer
    When "POST /unsafe/1" is sent with "Deadline-Remaining: 200"
    Then the answer has status 504
    And the server sees its caller leave

  Scenario: A server that is draining gets nothing new
    Given the server says that it is draining
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 503
    And the server got 0 requests

  Scenario: A new version is in force and an older one is not
    Given version 3 of the configuration is written without routes
    And version 2 of the configuration is written with all routes
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 404

  Scenario: A VM that is told to stop is not ready and serves what comes
    Given the VM is ready
    When the VM is told to stop
    Then the VM is not ready
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 200
    And the answer has header "connection"
    And the VM ends

  Scenario: Without a configuration a VM is not ready and refuses truthfully
    Given a VM on the platform without a configuration
    Then the VM is not ready
    When "POST /unsafe/1" is sent with ""
    Then the answer has status 503

  Scenario: A request that outlives the grace time does not hold the VM up
    Given the server does not answer
    And a request waits with 60 seconds to its deadline
    When the VM is told to stop
    Then the VM ends before the request is answered

  Scenario: Metrics tell how requests ended
    When "POST /unsafe/1" is sent with ""
    And "GET /open/1" is sent with "Authorization: Token wrong"
    And "POST /nowhere/1" is sent with ""
    Then the metrics have "laburnumstep_callers_calls_answered_total 2.0"
    And the metrics have "laburnumstep_callers_calls_seconds_count 2.0"
    And the metrics have "laburnumstep_callers_refused_unknown_route_total 1.0"
    And the metrics have "laburnumstep_targets_registered 1.0"

  Scenario: A port in use costs the metrics and nothing else
    Given a port that another process listens on
    When a VM is built whose metrics have that port
    Then it has no address for metrics
