Feature: A JSON client gives up a peer that sends without end
  Guards against a process that runs out of memory, or waits for good, because
  one of its peers sends bytes that are no answer until it is closed.

  Scenario Outline: Responses without end
    Given a peer that responds with "<begin>" and then "<repeated>" without end
    When 4 JSON requests are sent to it with a limit of 64 KiB
    Then each of them fails as sent
    And the process allocated less than 16 MiB meanwhile

    Examples:
      | begin                                                 | repeated                      |
      |                                                       | x                             |
      | HTTP/1.1 200 OK\r\n                                   | x-any: y\r\n                  |
      | HTTP/1.1 200 OK\r\n\r\n                               | y                             |
      | HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n | y                             |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1\r\ny\r\n                    |

  # The timeouts of httpcore apply to each read, so that they never pass.
  Scenario Outline: Responses that go on until the deadline
    Given a peer that responds with "<begin>" and then "<repeated>" without end
    When a JSON request is sent to it with a deadline in 0.3 s
    Then it fails as sent

    Examples:
      | begin                                 | repeated                          |
      | HTTP/1.1 100 Continue\r\n\r\n         | HTTP/1.1 100 Continue\r\n\r\n     |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1;any=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\ny\r\n |

  # Guards against a request of which "not run" is said although it was sent,
  # and against an unknown outcome of one that was not.
  Scenario: A peer that accepts no connection
    Given a peer whose queue of connections is full
    When a JSON request is sent to it with a deadline in 0.3 s
    Then it fails as not sent

  # Guards against the status of a peer in trouble that counts as an answer.
  Scenario Outline: A response with a status outside 200 to 599
    Given a peer that responds "HTTP/1.1 <status> Odd\r\nContent-Length: 2\r\n\r\n{}" and then closes
    When a JSON request is sent to it with a deadline in 5.0 s
    Then it fails as sent

    Examples:
      | status |
      | 000    |
      | 099    |
      | 101    |
      | 600    |
      | 999    |
