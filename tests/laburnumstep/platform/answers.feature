Feature: Only an answer that is whole and its own reaches a caller
  Guards against answers that a faulty server breaks off, repeats or adds, and
  against refusals that say "not run" of a request that has run.

  # Guards against an answer that breaks off and is passed on as complete.
  Scenario Outline: An answer that ends early is lost
    Given a server that sends "<bytes>" and <ending>
    When a "<kind>" request is sent to it
    Then the reply is <reply>

    Examples: heads
      | kind | bytes                                     | ending | reply    |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}Content-Len  | closes | Lost     |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}             | closes | Lost     |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}             | resets | Lost     |
      | safe | HTTP/1.1 200 OK                           | closes | Lost     |
      | safe | HTTP/1.1 200                              | closes | Lost     |
      | plan | HTTP/1.1 200 OK\r\n{own}{mac}{sse}        | closes | Lost     |
      | safe | HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n  | closes | Lost     |
      | safe | {endless}                                 | waits  | Lost     |

    Examples: bodies
      | kind | bytes                                                       | ending | reply    |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}Content-Length: 4\r\n\r\nabcd  | closes | Answered |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}Content-Length: 4\r\n\r\nabc   | closes | Lost     |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}\r\nabcd                       | closes | Answered |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}\r\nabcd                       | resets | Lost     |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}{chunked}\r\n4\r\nabcd\r\n0\r\n\r\n | closes | Answered |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}{chunked}\r\n4\r\nabcd\r\n     | closes | Lost     |
      | safe | HTTP/1.1 200 OK\r\n{own}{mac}{chunked}\r\n4\r\nab           | closes | Lost     |

    Examples: streams
      | kind | bytes                                                            | ending | reply      |
      | plan | HTTP/1.1 200 OK\r\n{own}{mac}{sse}\r\nid: 1\n\nid: 2\n\n         | closes | events 1,2 and the end |
      | plan | HTTP/1.1 200 OK\r\n{own}{mac}{sse}\r\nid: 1\n\nid: 2\n           | closes | events 1 and a break   |
      | plan | HTTP/1.1 200 OK\r\n{own}{mac}{sse}{chunked}\r\n7\r\nid: 1\n\n\r\n | closes | events 1 and a break   |
      | plan | HTTP/1.1 200 OK\r\n{own}{mac}{sse}{chunked}\r\n7\r\nid: 1\n\n\r\n0\r\n\r\n | closes | events 1 and the end |

  # Guards against "not run" for a request that the server has run, because it
  # wrote the refusal of an earlier request once more.
  Scenario Outline: A refusal of another request does not say that this one has not run
    Given a server that first refuses a request and then sends "<bytes>"
    When two "safe" requests are sent over one connection
    Then the reply is <reply>

    Examples:
      | bytes                                                                     | reply  |
      | HTTP/1.1 503 Busy\r\n{first}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n  | Lost   |
      | HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n         | Lost   |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n    | NotRun |

  Scenario Outline: The first answer on a connection needs no identifier to refuse
    Given a server that sends "<bytes>" and waits
    When a "safe" request is sent to it
    Then the reply is <reply>

    Examples:
      | bytes                                                                       | reply  |
      | HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n           | NotRun |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n      | NotRun |
      | HTTP/1.1 503 Busy\r\n{other}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n    | Lost   |

  # Guards against the status of a server in trouble that reaches a caller as
  # an answer, or says that a request has not run.
  Scenario Outline: A reply with a status outside 200 to 599 is lost
    Given a server that sends "HTTP/1.1 <status> Odd\r\n{own}{mac}<headers>Content-Length: 2\r\n\r\nok" and waits
    When a "<kind>" request is sent to it
    Then the reply is Lost

    Examples:
      | kind | status | headers           |
      | safe | 000    |                   |
      | safe | 099    |                   |
      | safe | 600    |                   |
      | safe | 999    |                   |
      | safe | 999    | Not-Executed: 1\r\n |
      | plan | 000    |                   |
      | plan | 999    |                   |
      | plan | 600    | {sse}             |

  # Guards against a word of a server that is missed in a refusal or at the
  # beginning of a stream, or taken from an answer to another request.
  Scenario Outline: What a server says about itself is read from each head
    Given a server that sends "<bytes>" and waits
    When a "plan" request is sent to it
    Then the server's words are <words>

    Examples:
      | bytes                                                                    | words           |
      | HTTP/1.1 200 OK\r\n{own}{mac}{sse}{chunked}Server-Leaving: 1\r\n\r\n0\r\n\r\n | leaving    |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n | leaving |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n | back-off 1.5 |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nCold-Ms: 2500\r\nContent-Length: 0\r\n\r\n | cold 2.5 |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nCold-Ms: 9999999999\r\nContent-Length: 0\r\n\r\n | cold 600 |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nCold-Ms: 1e3\r\nContent-Length: 0\r\n\r\n | nothing |
      | HTTP/1.1 503 Busy\r\n{own}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n | none |
      | HTTP/1.1 503 Busy\r\n{other}Not-Executed: 1\r\nServer-Leaving: 1\r\nContent-Length: 0\r\n\r\n | none |

  # Guards against a hand-over that counts its time from a request that was not
  # sent, or never, and against one that counts it too late.
  Scenario: A request is reported as sent before its server can receive it
    Given a server that sends "HTTP/1.1 200 OK\r\n{own}{mac}{sse}\r\nid: 1\n\n" and closes
    When a "plan" request is sent to it
    Then the reply is events 1 and the end
    And it was reported as sent 1 times, before it arrived

  Scenario: A request without a connection is not reported as sent
    Given a server that accepts no connections
    When a "plan" request is sent to it
    Then the reply is NotReached
    And it was reported as sent 0 times, before it arrived
