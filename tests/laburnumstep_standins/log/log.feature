Feature: Protocol of the log stand-in
  Guards against tests that pass only because the stand-in guarantees more
  than the platform's log.

  Background:
    Given a log of 2 appends a second that keeps records for 100 seconds

  Scenario Outline: A read returns the retained records from an offset on
    Given 2 records are appended
    And 60 seconds pass
    And 3 records are appended
    And <passed> seconds pass
    When the stream is read from <start> with at most <limit> records
    Then the offsets are "<offsets>" with next <next>, first <first>, end 5

    Examples:
      | passed | start | limit | offsets   | next | first |
      | 0      | 0     | 10    | 0 1 2 3 4 | 5    | 0     |
      | 0      | 1     | 2     | 1 2       | 3    | 0     |
      | 0      | 5     | 10    |           | 5    | 0     |
      | 0      | 9     | 10    |           | 9    | 0     |
      | 50     | 0     | 10    | 2 3 4     | 5    | 2     |
      | 50     | 3     | 10    | 3 4       | 5    | 2     |
      | 150    | 0     | 10    |           | 5    | 5     |

  Scenario Outline: A fault affects appends and reads
    Given the faults <faults>
    When an append of a record is attempted
    Then the append returns <append>
    And the stream holds <records> records
    And a read returns <read>

    Examples:
      | faults               | append | records | read |
      | {}                   | 200    | 1       | 200  |
      | {"outage": true}     | 503    | 0       | 503  |
      | {"lost_replies": 1}  | a cut  | 1       | 200  |

  Scenario: Appends above the rate are refused with a delay before a retry
    Given 1 records are appended
    And 1 records are appended
    When an append of a record is attempted
    Then the append returns 429
    And the response asks for a delay of 0.5 seconds
    And the stream holds 2 records

  Scenario: Records of one append have the same time
    Given 3 records are appended
    When the stream is read from 0 with at most 10 records
    Then all records carry the time of the append

  Scenario: An append ends a waiting read
    When a read from 0 waits and a record is appended
    Then the waiting read returns 1 records

  Scenario: Reads do not return records appended after hold_reads
    Given 1 records are appended
    And the faults {"hold_reads": true}
    And 1 records are appended
    When the stream is read from 0 with at most 10 records
    Then the offsets are "0" with next 1, first 0, end 1

  Scenario: A truncated log continues at the new end
    Given 3 records are appended
    And the faults {"truncate": {"configuration": 1}}
    When the stream is read from 0 with at most 10 records
    Then the offsets are "0" with next 1, first 0, end 1
    And the next append gets offset 1
    When the stream is read from 0 with at most 10 records
    Then the offsets are "0 1" with next 2, first 0, end 2
