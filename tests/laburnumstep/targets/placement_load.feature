Feature: Many VMs place requests by late reports without queues at one engine
  Guards against VMs that see the same report and all send to the engine that
  it shows as free, so that first tokens wait behind other VMs' prompts.

  The load is that of 195 VMs before 30 engines: 27 requests a second as usual,
  60 in a burst. The bound compares with one placer that knows every queue.

  Scenario Outline: First tokens wait little longer than with one placer
    Given 195 VMs before 30 engines with 27 requests a second
    And reports are <delay> s old, and sends of siblings are known
    When requests are placed for 25 seconds
    Then first tokens wait at most 1.3 times as long as with one placer

    Examples:
      | delay |
      | 0.1   |
      | 0.7   |
      | 1.5   |
      | 4.0   |

  Scenario Outline: The sends of siblings shorten the queues of a burst
    Given 195 VMs before 30 engines with 60 requests a second
    And reports are <delay> s old, and sends of siblings are <known>
    When requests are placed for 25 seconds
    Then the mean wait for the first token is <relation> 0.3 s

    Examples:
      | delay | known   | relation |
      | 0.7   | known   | below    |
      | 0.7   | unknown | above    |
      | 1.5   | known   | below    |
      | 1.5   | unknown | above    |

  Scenario: Comparing all engines by late reports fills one of them
    Guards against a number of candidates that grows with the engines.
    Given 195 VMs before 30 engines with 27 requests a second
    And reports are 0.7 s old, and sends of siblings are known
    And each VM compares 30 engines
    When requests are placed for 25 seconds
    Then first tokens wait more than 1.3 times as long as with one placer

  Scenario: Substitutes for full engines shorten the queues
    Guards against requests that all join the one candidate with free memory,
    although others that were not compared have shorter queues.
    Given 76 VMs before 30 engines with 42 requests a second
    And reports are 0.7 s old, and sends of siblings are known
    And engines have 22000 tokens of memory
    When requests are placed for 25 seconds with and without substitutes
    Then the mean wait with substitutes is at most 0.95 of that without

  Scenario Outline: A substitute is compared in place of a full candidate
    Given engines "<engines>" as load in percent and waiting requests
    When a request compares <candidates> of them and may take substitutes
    Then it is placed on engine <chosen>

    Examples:
      | engines             | candidates | chosen |
      | 99/0 99/0 20/6 20/0 | 3          | 3      |
      | 30/0 30/0 20/6 20/0 | 3          | 0 or 1 |
      | 99/0 99/0 99/0 20/4 | 3          | 3      |
      | 99/0 20/1 99/0 20/0 | 4          | 3      |
