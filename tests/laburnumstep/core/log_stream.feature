Feature: Logging never blocks the process
  Guards against a VM that stalls or fails because the reader of its log
  output is slow or has closed the pipe.

  Scenario: Lines that exceed the buffer are dropped and counted
    Given a log stream of 1000 bytes whose reader reads nothing
    When 2000 lines of 100 bytes are written
    Then lines were dropped
    When the reader reads the available lines and another line is written
    Then the reader receives the number of dropped lines
    And each line that it receives is complete

  Scenario: A closed reader does not raise an error
    Given a log stream of 1000 bytes whose reader is closed
    When 20 lines of 100 bytes are written
    Then lines were dropped
