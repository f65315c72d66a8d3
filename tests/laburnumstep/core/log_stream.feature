Feature: Logs never hold up the process
  Guards against a reader of logs that is slow or gone and stops the VM.

  Scenario: Lines that the reader does not take are dropped and counted
    Given a log stream of 1000 bytes whose reader takes nothing
    When 2000 lines of 100 bytes are written
    Then lines were dropped
    When the reader takes what is there and another line is written
    Then the reader sees how many lines were dropped
    And each line that it sees is whole

  Scenario: A reader that is gone stops nothing
    Given a log stream of 1000 bytes whose reader is gone
    When 20 lines of 100 bytes are written
    Then lines were dropped
