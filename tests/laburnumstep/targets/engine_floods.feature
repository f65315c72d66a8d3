Feature: An engine that sends nothing new loses the stream
  Guards against a generation that waits past its deadline, because its engine
  repeats events or sends bytes that are no events without end.

  Scenario Outline: Bytes without end that hold no new event
    Given a peer that responds with "<begin>" and then "<repeated>" without end
    When a generation is started there with an idle timeout of <seconds> s
    Then the stream breaks after <count> new events

    Examples:
      | begin                         | repeated                                  | seconds | count |
      | HTTP/1.1 200 OK\r\n\r\n       | id: g:0\ndata: "a"\n\n                    | 5       | 1     |
      | HTTP/1.1 200 OK\r\n\r\n       | event: preempted\ndata: {}\n\n            | 5       | 0     |
      | HTTP/1.1 200 OK\r\n\r\n       | \n                                        | 5       | 0     |
      | HTTP/1.1 200 OK\r\n\r\n       | y                                         | 5       | 0     |
      | HTTP/1.1 100 Continue\r\n\r\n | HTTP/1.1 100 Continue\r\n\r\n             | 0.3     | 0     |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n | 1;any=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\ny\r\n | 0.3 | 0 |
