Feature: Gossip entries merge by key, stamp and deadline
  Guards against stale, duplicate or malformed entries that replace newer
  ones, and against a store that grows without bound.

  Background:
    Given a gossip store

  Scenario Outline: The rule that merges two entries with one key
    Given an entry with stamp <held> that expires in <held for> s is merged
    When an entry with stamp <given> that expires in <given for> s is merged
    Then the merge gives "<result>"
    And the store holds stamp <kept>

    Examples:
      | held | held for | given | given for | result  | kept |
      | 5    | 10       | 6     | 10        | fresh   | 6    |
      | 5    | 10       | 5     | 10        | known   | 5    |
      | 5    | 10       | 4     | 99        | known   | 5    |
      | 5    | 10       | 6     | -1        | expired | 5    |

  Scenario Outline: Malformed entries are refused
    When an entry with "<field>" set to "<value>" is merged
    Then the merge gives "malformed"
    And the store holds nothing

    Examples:
      | field      | value         |
      | subject    |               |
      | subject    | 300 letters   |
      | origin     |               |
      | stamp      | 0             |
      | stamp      | ahead 61 s    |
      | expires_at | nan           |
      | expires_at | ahead 90000 s |
      | value      | other kind    |
      | value      | other origin  |

  Scenario: An entry is gone after its deadline and its key is free again
    Given an entry with stamp 5 that expires in 10 s is merged
    When 11 s pass
    Then the store holds nothing
    And the digest is that of an empty store

  Scenario: A flood of one kind leaves entries of other kinds alone
    Given an entry with stamp 5 that expires in 10 s is merged
    When 5000 crash entries are merged
    Then the store holds 4097 entries
    And the store holds stamp 5

  Scenario: Entries that replace each other do not pile up deadlines
    When one entry is replaced 1000 times
    Then the store keeps at most 100 deadlines

  Scenario Outline: Two stores are equal after an anti-entropy exchange
    Given a second store, <shared> shared entries, <first> and <second> own
    When the stores reconcile
    Then both hold <all> entries

    Examples:
      | shared | first | second | all |
      | 0      | 5     | 0      | 5   |
      | 50     | 0     | 5      | 55  |
      | 300    | 20    | 20     | 340 |
