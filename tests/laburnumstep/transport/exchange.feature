Feature: A connection is reused only after a complete response
  Guards against bytes of one response that are assigned to the next request,
  and against an incomplete body that is accepted as complete.

  Scenario Outline: The response decides whether its connection is reused
    Given a peer that responds "<answer>" and then <then>
    When a request is sent to it
    Then the exchange returns <result>
    And the connection is <kept>

    Examples:
      | answer                                                            | then       | result    | kept     |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok                    | waits      | body ok   | kept     |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok                    | closes     | body ok   | not kept |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok | waits    | body ok   | not kept |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n | waits      | body ok   | not kept |
      | HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok                    | closes     | a failure | not kept |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n  | closes     | a failure | not kept |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n | waits | body ok | kept   |
      | HTTP/1.1 200 OK\r\n\r\nok                                         | closes     | body ok   | not kept |
      | HTTP/1.1 200 OK\r\n\r\nok                                         | resets     | a failure | not kept |
      | HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok | waits | body ok | kept |
      | no HTTP at all\r\n\r\n                                            | waits      | a failure | not kept |
      |                                                                   | closes     | a failure | not kept |
      |                                                                   | resets     | a failure | not kept |

  # Guards against the status of a peer in trouble that reaches a caller as an
  # answer.
  Scenario Outline: A response with a status outside 200 to 599 is a failure
    Given a peer that responds "HTTP/1.1 <status> Odd\r\nContent-Length: 2\r\n\r\nok" and then waits
    When a request is sent to it
    Then the exchange returns <result>

    Examples:
      | status | result    |
      | 000    | a failure |
      | 001    | a failure |
      | 099    | a failure |
      | 600    | a failure |
      | 999    | a failure |
      | 200    | body ok   |
      | 299    | body ok   |
      | 599    | body ok   |

  Scenario Outline: Bytes without end are given up before the deadline
    Guards against a peer in trouble that fills the memory of the VM or keeps
    its processor busy until the deadline passes.
    Given a peer that responds with "<begin>" and then "<repeated>" without end
    When a request is sent to it on a clock that stands still
    Then the exchange returns a failure

    Examples:
      | begin                                                 | repeated                          |
      |                                                       | x                                 |
      | HTTP/1.1 200 OK\r\n                                   | x-any: y\r\n                      |
      | HTTP/1.1 200 OK\r\nx-any:                             | y                                 |
      | HTTP/1.1 100 Continue\r\n\r\n                         | HTTP/1.1 100 Continue\r\n\r\n     |
      | HTTP/1.1 200 OK\r\n\r\n                               | y                                 |
      | HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n | y                                 |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1\r\ny\r\n                        |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1                                 |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a= | b                             |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n | x-any: y\r\n                 |

  Scenario: Connecting to a closed port fails
    Given an address without a listener
    Then connecting to it raises ConnectFailed

  Scenario: An idle connection is reused unless a new one is requested
    Given a peer that responds "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" and then waits
    When a request is sent over a pool
    Then the pool returns the same connection
    But a new one if requested, and after the idle connection has expired
