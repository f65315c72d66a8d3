Feature: Placement chooses usable targets with room
  Guards against work for targets that leave, failed or crashed on the
  request, and against many VMs that choose the same target.

  Scenario Outline: An unusable target is never chosen
    Given a fleet of 4 engines
    And target engine-1 is <state>
    When 300 requests are placed one after another
    Then each engine but engine-1 gets some

    Examples:
      | state                    |
      | declared as leaving      |
      | observed as leaving      |
      | reported as reclaimed    |
      | failed a moment ago      |
      | excluded by the requests |
      | without the model        |

  Scenario Outline: Without a usable target the answer tells why
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

  Scenario: A leaving target stays out across a new configuration
    Given a fleet of 2 engines
    And target engine-1 is observed as leaving
    When the configuration is applied again with engine-1 moved
    And 50 requests are placed one after another
    Then each engine but engine-1 gets some

  Scenario: A failed target gets work again after its time
    Given a fleet of 1 engines
    And target engine-0 is failed a moment ago
    When 10 seconds pass
    And a request is placed
    Then the placement is Placed

  Scenario Outline: VMs with the same stale reports do not overfill an engine
    Given <vms> VMs that see <engines> engines, of which engine-0 is far emptier
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
    Then each engine gets one of them
    And a further suspect finds no room while a healthy request is placed

  Scenario: Another region is used only within the link's budget
    Given a fleet of 3 engines of which 2 are far, over a link of 1000 bytes a second
    And target engine-2 is full
    When a request is placed
    Then it is placed on a far engine
    When the link has carried 20000 bytes
    And a request is placed
    Then the placement is NoRoom

  Scenario: A cached prefix attracts a request
    Given a fleet of 3 engines
    And engine-2 published that it stored the prefix of the requests
    When 50 requests with that prefix are placed and end one by one
    Then engine-2 gets more than half of them

  Scenario: A hint for a target that is gone is ignored
    Given a fleet of 3 engines
    And engine-2 published that it stored the prefix of the requests
    And target engine-2 is observed as leaving
    When 50 requests with that prefix are placed and end one by one
    Then no request is placed on engine-2

  Scenario Outline: Lost cache events invalidate what was known
    Given cache events of an engine: <events>
    Then the share of the prompt believed cached is <share>

    Examples:
      | events                          | share |
      | 0 stored a, 1 stored b          | 1.0   |
      | 0 stored a, 1 evicted a         | 0.0   |
      | 0 stored a, 1 stored a          | 0.5   |
      | 0 stored b, 2 stored a          | 0.5   |
      | 0 stored b, next 2              | 0.0   |
      | 0 stored b, restart, 0 stored a | 0.5   |
      | 0 stored b, 0 evicted b         | 1.0   |

  Scenario: Service calls go to the less busy server
    Given a fleet of 1 engines
    When 100 calls to booking are placed and stay in progress
    Then the two servers differ by at most one call
    When target booking-0 is observed as leaving
    And 20 calls to booking are placed and stay in progress
    Then booking-0 still has 50 calls
