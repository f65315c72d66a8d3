Feature: A peer that sends without end holds up nothing but its own exchange
  Guards against a VM that answers nobody while one peer in trouble sends
  faster than its bytes are read and decoded.

  Scenario Outline: Deadlines take effect while a peer sends without end
    Given a peer that sends "<begin>" and then "<repeated>" faster than it is read
    When its body is read while another task advances the clock past the deadline
    Then the read ends because the deadline has passed

    Examples:
      | begin                                                 | repeated                      |
      | HTTP/1.1 200 OK\r\n\r\n                               | \n                            |
      | HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n | y                             |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1\r\ny\r\n                    |

  # Guards against a single read of the socket whose chunks take seconds to
  # decode.
  Scenario: Other tasks run while the chunks of one read are decoded
    Given a peer that sends "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" and then "1\r\ny\r\n" faster than it is read
    When 5000 chunks of its body are read beside another task
    Then the other task ran at least once in 100 chunks

  # Guards against bodies that stay below their limit for gigabytes, because
  # nearly all of what is received is framing.
  Scenario Outline: The size limit of a body includes its framing
    Given a peer that sends "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" and then "<repeated>" faster than it is read
    When its body is read with a limit of 100000 bytes
    Then the read ends before 300000 bytes have been received

    Examples:
      | repeated                                                    |
      | 1\r\ny\r\n                                                  |
      | 1;any=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\ny\r\n |
