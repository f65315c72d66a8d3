Feature: The log's stand-in keeps the log's protocol
  Guards against tests that pass because the stand-in promises more than
  the platform's log does.

  Background:
    Given a log of 2 appends a second that keeps records for 100 seconds

  Scenario Outline: A read returns what is retained from an offset on
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

  Scenario Outline: A request meets a fault
    Given the faults <faults>
    When a record is appended and its reply awaited
    Then the append gives <append>
    And the stream holds <records> records
    And a read gives <read>

    Examples:
      | faults               | append | records | read |
      | {}                   | 200    | 1       | 200  |
      | {"outage": true}     | 503    | 0       | 503  |
      | {"lost_replies": 1}  | a cut  | 1       | 200  |

  Scenario: Appends above the rate are refused with a time to retry
    Given 1 records are appended
    And 1 records are appended
    When a record is appended and its reply awaited
    Then the append gives 429
    And the answer names 0.5 seconds to wait
    And the stream holds 2 records

  Scenario: Records of one append have one time and follow each other
    Given 3 records are appended
    When the stream is read from 0 with at most 10 records
    Then all records carry the time of the append

  Scenario: A waiting read ends with the append of a record
    When a read from 0 waits and a record is appended
    Then the waiting read returns 1 records

  Scenario: Reads lag behind appends
    Given 1 records are appended
    And the faults {"hold_reads": true}
    And 1 records are appended
    When the stream is read from 0 with at most 10 records
    Then the offsets are "0" with next 1, first 0, end 1

  Scenario: The log loses its last records
    Given 3 records are appended
    And the faults {"truncate": {"configuration": 1}}
    When the stream is read from 0 with at most 10 records
    Then the offsets are "0" with next 1, first 0, end 1
    And the next append lands at 1
    When the stream is read from 0 with at most 10 records
    Then the offsets are "0 1" with next 2, first 0, end 2
