Feature: Servers are asked whether they are cold while the store is away
  Guards against a server that becomes cold during an outage of the store and
  crashes under the requests of VMs that cannot know, and against questions to
  all servers by all VMs, or on quiet days.

  Scenario Outline: Only servers that this VM has to ask are asked
    Given servers "a" and "b" of a service that limits cold servers, "c" of another, and "d" that is leaving
    When <state> for 3 seconds
    Then the questions to each server are <questions>

    Examples:
      | state                                       | questions |
      | the store is away and the VM owns a,c,d     | a=3       |
      | the store is away and the VM owns a,b,c,d   | a=3,b=3   |
      | the store is away and the VM owns nothing   | none      |
      | the store is read and the VM owns a,b,c,d   | none      |

  Scenario Outline: The answer to a question says whether a server is cold
    Given a server that sends "<bytes>" and <ending>
    When its health is checked
    Then the server's words are <words>

    Examples:
      | bytes                                                           | ending | words    |
      | HTTP/1.1 200 OK\r\nCold-Ms: 9000\r\nContent-Length: 2\r\n\r\nok | waits  | cold 9   |
      | HTTP/1.1 503 No\r\nCold-Ms: 9000\r\nContent-Length: 0\r\n\r\n   | waits  | cold 9   |
      | HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok                  | waits  | none     |
      | HTTP/1.1 200 OK\r\nCold-Ms                                      | closes | none     |
