Feature: The sends of a VM correct lagging load reports
  Guards against requests that are counted twice or not at all while a load
  report lags, which would overload engines or leave them idle.

  Scenario Outline: A send counts exactly once, whether or not the report includes it
    Given an engine with a report measured at second 0 of 0 requests
    When a send of 100 prompt and 50 answer tokens lasts from <begun> to <ended>
    And a report measured at second <measured> of <reported> requests arrives at second 30
    Then the view counts <requests> requests
    And the view counts <memory> tokens of memory

    Examples:
      | begun | ended | measured | reported | requests | memory |
      | 10    | never | 5        | 0        | 1        | 150    |
      | 10    | never | 10       | 0        | 1        | 150    |
      | 10    | never | 15       | 1        | 1        | 150    |
      | 10    | never | 30       | 1        | 1        | 150    |
      | 10    | 20    | 5        | 0        | 0        | 0      |
      | 10    | 20    | 15       | 1        | 0        | 0      |
      | 10    | 20    | 25       | 0        | 0        | 0      |
      | 10    | 20    | 15       | 4        | 3        | 375    |
      | 10    | 20    | 25       | 4        | 4        | 500    |
      | 10    | never | 15       | 4        | 4        | 525    |

  Scenario: An older report does not replace a newer one
    Given an engine with a report measured at second 20 of 5 requests
    When a report measured at second 10 of 0 requests arrives at second 30
    Then the view counts 5 requests

  Scenario: A second end of the same send has no effect
    Given an engine with a report measured at second 0 of 0 requests
    When a send is ended at second 20 and again at second 40
    And a report measured at second 30 of 4 requests arrives at second 50
    Then the view counts 4 requests

  # Guards against requests that are placed on a target which takes no more
  # for now, and against a target that stays unused afterwards.
  Scenario Outline: A target that has used up its limit is left out until a time
    Given an engine with a report measured at second 0 of 0 requests
    When the engine is held until second 30 and <event>
    Then at second <second> the engine <use>

    Examples:
      | event                            | second | use                     |
      | nothing happens                  | 29     | is used at second 30    |
      | nothing happens                  | 30     | is used                 |
      | is held until second 20 again    | 25     | is used                 |
      | is held until second 40 again    | 35     | is used at second 40    |
      | fails until second 20            | 25     | is used at second 30    |
      | fails until second 40            | 35     | is used at second 40    |
      | its limit changes                | 10     | is used                 |
      | its limit ends                   | 10     | is used                 |
      | is leaving                       | 35     | is not used             |

  # Guards against a request that waits for a target which wants none, and one
  # that is refused although another target is left.
  Scenario Outline: A pool is closed while all of its targets back off
    Given 2 engines, of which <state>
    When a request may not use <excluded>
    Then the pool is closed until <until>

    Examples:
      | state                                     | excluded | until     |
      | none says anything                        | none     | never     |
      | engine-0 backs off 40                     | none     | never     |
      | engine-0 backs off 40                     | engine-1 | second 40 |
      | engine-0 backs off 40                     | engine-0 | never     |
      | engine-0 backs off 40; engine-1 backs off 30 | none  | second 30 |
      | engine-0 backs off 40; engine-1 backs off 30 | engine-1 | second 30 |
      | engine-0 backs off 40; engine-1 fails 30  | none     | never     |
      | engine-0 backs off 40; engine-1 leaves 0  | none     | second 40 |
      | engine-0 backs off 40; engine-1 is-held 30 | none    | never     |
      | engine-0 backs off 40; engine-1 leaves 0; engine-0 backs off 0 | none | never |

  Scenario: A resumed generation is not added to a report that includes it
    Given an engine with a report measured at second 0 of 3 requests
    When a generation of another VM is resumed and yields 1000 tokens at once
    Then the view counts 3 requests
    When the resumed generation ends
    Then the view counts 2 requests
    And it does not update the mean time between tokens
