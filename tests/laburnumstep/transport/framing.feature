Feature: Requests of ambiguous length are rejected
  Guards against request smuggling: a proxy and the server disagree about the
  end of a request, and the server handles the bytes in between as another
  request.

  Scenario Outline: Valid and contradictory body lengths
    Given a server that counts its requests
    When a request with <headers> and the body <body> is sent before another one
    Then the server has started <requests> requests
    And the first response has status <status> and the connection is <connection>

    Examples:
      | headers                                                 | body               | requests | status | connection |
      | Content-Length: 5                                       | hello              | 2        | 200    | open       |
      | Transfer-Encoding: chunked                              | 5\r\nhello\r\n0\r\n\r\n | 2   | 200    | open       |
      | Content-Length: 5\r\nTransfer-Encoding: chunked         | 0\r\n\r\n          | 0        | 400    | closed     |
      | Transfer-Encoding: chunked\r\nContent-Length: 5         | 0\r\n\r\n          | 0        | 400    | closed     |
      | Transfer-Encoding:\r\n chunked\r\nContent-Length: 5     | 0\r\n\r\n          | 0        | 400    | closed     |
      | Content-Length: 5\r\nContent-Length: 6                  | hello              | 0        | 400    | closed     |
      | Content-Length: 5, 6                                    | hello              | 0        | 400    | closed     |
      | Content-Length: +5                                      | hello              | 0        | 400    | closed     |
      | Content-Length: 5\r\nContent-Length: 5                  | hello              | 2        | 200    | open       |
      | Content-Length : 5                                      | hello              | 0        | 400    | closed     |
      | Transfer-Encoding : chunked\r\nContent-Length: 5        | 0\r\n\r\n          | 0        | 400    | closed     |
      | Transfer-Encoding: gzip                                 | hello              | 0        | 400    | closed     |
      | Transfer-Encoding: gzip, chunked                        | 0\r\n\r\n          | 0        | 400    | closed     |
      | Transfer-Encoding: chunked\nContent-Length: 5           | 0\r\n\r\n          | 0        | 400    | closed     |
