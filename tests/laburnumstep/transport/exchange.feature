Feature: Answers of a peer are told apart on a kept connection
  Guards against bytes that reach the wrong request, and against a body that
  broke off and looks complete.

  Scenario Outline: What a peer sends decides what becomes of its connection
    Given a peer that answers "<answer>" and then <then>
    When a request is sent to it
    Then the exchange gives <result>
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

  Scenario: A peer that is not there was not reached
    Given an address where nobody listens
    Then connecting to it fails as not reached

  Scenario: A kept connection is used again unless a fresh one is wanted
    Given a peer that answers "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" and then waits
    When a request is sent over a pool
    Then the pool hands out the same connection
    But a fresh one when asked, and after the time to keep it
