Feature: Records of a topic are kept for other VMs
  Guards against siblings that are woken by every renewal of an entry, that
  miss a record, or that take old records from a VM that cannot read.

  Background:
    Given a cache of a topic whose values count without their counter

  Scenario Outline: A read returns the changed records from an offset on
    Given the cache has read <records>
    When records from offset <start> are read
    Then the read returns <expected>, next <next>

    Examples:
      | records          | start | expected | next |
      | a=1 b=2          | 0     | a=1 b=2  | 2    |
      | a=1 b=2          | 1     | b=2      | 2    |
      | a=1 b=2          | 2     | nothing  | 2    |
      | a=1 b=2          | 5     | nothing  | 5    |
      | a=1 a=1+ a=1+    | 0     | a=1      | 3    |
      | a=1 a=1+ a=2     | 1     | a=2      | 3    |
      | a=1 a= a=1       | 0     | a=1 a= a=1 | 3  |
      | a=               | 0     | nothing  | 1    |

  Scenario Outline: A waiting read ends when its records or their lack is known
    Given the cache has read a=1
    When a read from offset 1 waits, and then <event>
    Then the waiting read <result>

    Examples:
      | event                        | result                 |
      | a=2 is read                  | returns a=2            |
      | a=1+ is read                 | is still waiting       |
      | the topic cannot be read     | finds it unavailable   |
      | the history is lost          | finds its history lost |
      | its wait ends                | returns nothing        |

  Scenario: The newest records are those that were not removed
    Given the cache has read a=1 b=2 a=3 b=
    Then the newest records are a=3, next 4

  Scenario Outline: A cache that is behind or not updated returns no snapshot
    Given the cache has read a=1
    And <event>
    When the newest records at offset <start> or later are read
    Then the topic is unavailable

    Examples:
      | event                    | start |
      | nothing happens          | 2     |
      | the topic cannot be read | 0     |

  Scenario: A reader behind the kept records starts again
    Given the cache has read 1100 changes of a
    When records from offset 10 are read
    Then the history is lost

  # Guards against records that a reader misses, because they stand at offsets
  # which it has read in an earlier epoch of the log.
  Scenario Outline: Offsets count only within one epoch of the log
    Given a cache of a topic whose values count without their counter
    And the cache has read a=1 b=1 c=1
    And then <event>
    When records from offset <start> of epoch <epoch> are read
    Then the reader <result>

    Examples:
      | event                                        | start | epoch | result               |
      | nothing happens                              | 3     | 2     | finds it unavailable |
      | the log comes back older with a=1            | 3     | 1     | finds another epoch  |
      | the log comes back older with a=1 b=2 c=2    | 3     | 1     | finds another epoch  |
      | the log comes back older with a=1 b=2 c=2 d=1 | 2    | 1     | finds another epoch  |
      | a page of the next epoch is read             | 3     | 1     | finds it unavailable |
      | a page of the next epoch is read             | 1     | 2     | finds it unavailable |

  Scenario: A read that waits is told of the next epoch
    Given a cache of a topic whose values count without their counter
    And the cache has read a=1 b=1 c=1
    When a read from offset 3 waits, and then the log comes back older with a=1
    Then the reader finds another epoch

  Scenario Outline: A cache that is behind in the epoch returns no newest records
    Given a cache of a topic whose values count without their counter
    And the cache has read a=1 b=1 c=1
    And then <event>
    When the newest records at offset <start> of epoch <epoch> are read
    Then the reader <result>

    Examples:
      | event                             | start | epoch | result               |
      | nothing happens                   | 0     | 2     | finds it unavailable |
      | nothing happens                   | 3     | 1     | returns records      |
      | the log comes back older with a=1 | 3     | 1     | returns records      |
