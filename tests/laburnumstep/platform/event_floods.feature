Feature: An engine that sends bytes without events loses the stream
  Guards against a stream that occupies the VM until its deadline, because its
  engine sends bytes that are no events without end.

  Scenario Outline: Bytes that are no events end a stream
    Given an engine that sends "<begin>" and then "<repeated>" faster than it is read
    When its events are read before their deadline
    Then the stream breaks before 1000000 bytes have been received

    Examples:
      | begin                                                 | repeated             |
      | HTTP/1.1 200 OK\r\n\r\n                               | \n                   |
      | HTTP/1.1 200 OK\r\n\r\n                               | :\n                  |
      | HTTP/1.1 200 OK\r\n\r\n                               | y                    |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1\r\ny\r\n           |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 2;any=yyy\r\n\n\n\r\n |

  # Guards against a stream that occupies a busy VM for seconds, because its
  # bytes come in very many chunks.
  Scenario: Many small chunks end a stream early
    Given an engine that sends "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" and then "1\r\ny\r\n" faster than it is read
    When its events are read before their deadline
    Then the stream breaks before 100000 bytes have been received

  # Guards against an end of an event that is overlooked because it arrives in
  # two chunks.
  Scenario Outline: Events are complete however their bytes are split
    Given the engine sends the stream "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" in chunks of <size> bytes
    When its events are read before their deadline
    Then the events "1;2" and the end are read

    Examples:
      | size |
      | 1    |
      | 2    |
      | 7    |
      | 14   |
      | 15   |
      | 28   |

  Scenario Outline: A VM goes on serving while one of its engines floods it
    Given a VM on the platform whose first engine of 2 sends "<repeated>" without end
    When requests that may be resumed are sent until it has flooded 1 of them
    Then each of them got a whole stream
    And a request to another service was answered meanwhile

    Examples:
      | repeated       |
      | \n             |
      | 1\r\ny\r\n     |
      | 2\r\n\n\n\r\n   |
