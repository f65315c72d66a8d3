Feature: Placement chooses usable targets with capacity
  Guards against new work on targets that are leaving, have failed or were
  crashed by the request, and against many VMs that choose the same target.

  Scenario Outline: An unusable target is never chosen
    Given a fleet of 4 engines
    And target engine-1 is <state>
    When 300 requests are placed one after another
    Then each engine except engine-1 receives requests

    Examples:
      | state                    |
      | declared as leaving      |
      | observed as leaving      |
      | reported as reclaimed    |
      | failed a moment ago      |
      | excluded by the requests |
      | without the model        |

  Scenario Outline: Without a usable target the result shows whether to wait
    Given a fleet of 1 engines
    And target engine-0 is <state>
    When a request is placed
    Then the placement is <placement>

    Examples:
      | state                    | placement |
      | observed as leaving      | NoTarget  |
      | excluded by the requests | NoTarget  |
      | failed a moment ago      | NoRoom    |
      | full                     | NoRoom    |

  Scenario: A new configuration does not make a leaving target usable
    Given a fleet of 2 engines
    And target engine-1 is observed as leaving
    When the configuration is applied again with engine-1 moved
    And 50 requests are placed one after another
    Then each engine except engine-1 receives requests

  Scenario: A failed target is used again when its ejection ends
    Given a fleet of 1 engines
    And target engine-0 is failed a moment ago
    When 10 seconds pass
    And a request is placed
    Then the placement is Placed

  Scenario Outline: VMs with the same stale reports do not overfill an engine
    Given <vms> VMs that see <engines> engines, of which engine-0 has far more free memory
    When each VM places <requests> requests before the next report, seed <seed>
    Then no engine is expected to need more memory than it has
    And at least half of the free memory is used

    Examples:
      | vms | engines | requests | seed |
      | 8   | 5       | 40       | 1    |
      | 8   | 6       | 40       | 2    |
      | 16  | 40      | 60       | 3    |
      | 32  | 6       | 40       | 4    |

  Scenario: Requests suspected of crashes run on different engines
    Given a fleet of 3 engines
    When 3 suspects are placed one after another
    Then each engine receives one of them
    And a healthy request has capacity but another suspect has not

  Scenario: A remote region is used only within the link's budget
    Given a fleet of 3 engines of which 2 are remote, over a link of 1000 bytes a second
    And target engine-2 is full
    When a request is placed
    Then it is placed on a remote engine
    When 20000 bytes were sent over the link
    And a request is placed
    Then the placement is NoRoom

  Scenario: A request prefers an engine that caches its prefix
    Given a fleet of 3 engines
    And engine-2 reported that it cached the prefix of the requests
    When 50 requests with that prefix are placed and end one by one
    Then engine-2 receives more than half of them

  Scenario: A hint for a target that is not usable is ignored
    Given a fleet of 3 engines
    And engine-2 reported that it cached the prefix of the requests
    And target engine-2 is observed as leaving
    When 50 requests with that prefix are placed and end one by one
    Then no request is placed on engine-2

  Scenario Outline: Lost cache events invalidate the hints about an engine
    Given cache events of an engine: <events>
    Then the fraction of the prompt assumed to be cached is <share>

    Examples:
      | events                          | share |
      | 0 stored a, 1 stored b          | 1.0   |
      | 0 stored a, 1 evicted a         | 0.0   |
      | 0 stored a, 1 stored a          | 0.5   |
      | 0 stored b, 2 stored a          | 0.5   |
      | 0 stored b, next 2              | 0.0   |
      | 0 stored b, restart, 0 stored a | 0.5   |
      | 0 stored b, 0 evicted b         | 1.0   |

  Scenario: Service calls go to the less loaded server
    Given a fleet of 1 engines
    When 100 calls to booking are placed and stay in progress
    Then the two servers differ by at most one call
    When target booking-0 is observed as leaving
    And 20 calls to booking are placed and stay in progress
    Then booking-0 still has 50 calls
