Feature: A follower keeps up with a keyed topic
  Guards against a VM that misses records after an outage of the log, or
  that keeps stale values after records it has not read were deleted.

  Scenario: The newest records come first, then the changes
    Given a keyed topic that returns "snapshot a=1", "records b=2", "records a="
    When the follower has read 3 times
    Then the reader received "snapshot a=1", "records b=2", "records a="
    And the requested offsets were "newest", "1", "2"

  Scenario: Deleted history is replaced by the newest records
    Given a keyed topic that returns "snapshot a=1", "history lost", "snapshot a=2"
    When the follower has read 3 times
    Then the reader received "snapshot a=1", "snapshot a=2"

  # Guards against targets that are dropped because the log has lost entries
  # which nobody has written again yet.
  Scenario: A log that comes back older counts as unreliable
    Given a keyed topic that returns "snapshot a=1", "epoch changed", "snapshot a=2"
    When the follower has read 3 times
    Then the reader received "snapshot a=1", "failure", "snapshot a=2"
    And the requested offsets were "newest", "1", "newest"

  Scenario: An outage is reported to the reader, and reading continues after it
    Given a keyed topic that returns "snapshot a=1", "unavailable", "unavailable", "records b=2"
    When the follower has read 4 times
    Then the reader received "snapshot a=1", "failure", "failure", "records b=2"
    And the requested offsets were "newest", "1", "1", "1"

  Scenario: A first read that fails is retried
    Given a keyed topic that returns "unavailable", "snapshot a=1"
    When the follower has read 2 times
    Then the reader received "failure", "snapshot a=1"

  Scenario: An unanswered read times out before a version must be in force
    Given a keyed topic that returns "snapshot a=1", "records b=2"
    When the follower has read 2 times
    Then the read times out 2.4 seconds after its start
