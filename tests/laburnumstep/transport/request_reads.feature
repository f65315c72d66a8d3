Feature: A caller that sends without end holds up nobody else
  Guards against an event loop that one caller holds for a second at a time,
  because all chunks of a long read are decoded before other tasks run.

  Scenario: A request that is sent faster than it is read
    Given a server that notes how much of a body arrives at once
    When a caller sends 100000 bytes of a body before the server reads them
    Then no more than 16384 bytes arrived at once
