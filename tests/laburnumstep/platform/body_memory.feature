Feature: Servers that send without end do not exhaust the memory
  Guards against a VM that is killed with all its requests, because it keeps
  what servers in trouble send until they are closed.

  Scenario: Many bodies without end at once
    Given a server that sends an answer whose body does not end
    And a server that sends an answer of 4 bytes
    When 30 requests to the first server and 1 to the second are sent at once
    Then the requests to the first server are lost and the other is answered
    And the process allocated less than 48 MiB meanwhile
