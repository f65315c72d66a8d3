Feature: Gossip entries merge by key, stamp and expiry time
  Guards against stale, duplicate or malformed entries that replace newer
  ones, and against a store that grows without bound.

  Background:
    Given a gossip store

  Scenario Outline: Merging two entries with the same key
    Given an entry with stamp <held> that expires in <held for> s is merged
    When an entry with stamp <given> that expires in <given for> s is merged
    Then the merge result is "<result>"
    And the store holds stamp <kept>

    Examples:
      | held | held for | given | given for | result  | kept |
      | 5    | 10       | 6     | 10        | fresh   | 6    |
      | 5    | 10       | 5     | 10        | known   | 5    |
      | 5    | 10       | 4     | 99        | known   | 5    |
      | 5    | 10       | 6     | -1        | expired | 5    |

  Scenario Outline: Malformed entries are refused
    When an entry with "<field>" set to "<value>" is merged
    Then the merge result is "malformed"
    And the store is empty

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

  Scenario: An expired entry is removed from the store and its digest
    Given an entry with stamp 5 that expires in 10 s is merged
    When 11 s pass
    Then the store is empty
    And the digest is that of an empty store

  Scenario: A flood of one kind does not displace entries of other kinds
    Given an entry with stamp 5 that expires in 10 s is merged
    When 5000 crash entries are merged
    Then the store holds 4097 entries
    And the store holds stamp 5

  Scenario: Replaced entries do not accumulate deadlines
    When one entry is replaced 1000 times
    Then the store has at most 100 deadlines

  Scenario Outline: Two stores are equal after an anti-entropy exchange
    Given a second store, <shared> shared entries, <first> and <second> own
    When the stores reconcile
    Then both stores hold <all> entries

    Examples:
      | shared | first | second | all |
      | 0      | 5     | 0      | 5   |
      | 50     | 0     | 5      | 55  |
      | 300    | 20    | 20     | 340 |
