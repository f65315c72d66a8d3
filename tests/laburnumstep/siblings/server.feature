Feature: Sibling calls over gRPC
  Guards against calls from outside the deployment that are served, and
  against messages that end the stream of a sibling.

  Background:
    Given a sibling server with key "siblings-test-key"

  Scenario Outline: A call without the right key is refused
    When "<method>" is called with key "<key>"
    Then the call fails with "<code>"
    And the handler has received <received> calls

    Examples:
      | method             | key               | code            | received |
      | Exchange           | another-key       | UNAUTHENTICATED | 0        |
      | Exchange           | none              | UNAUTHENTICATED | 0        |
      | Exchange           | twice             | UNAUTHENTICATED | 0        |
      | FetchConfiguration | another-key       | UNAUTHENTICATED | 0        |
      | FetchConfiguration | none              | UNAUTHENTICATED | 0        |
      | Claim              | another-key       | UNAUTHENTICATED | 0        |
      | Claim              | none              | UNAUTHENTICATED | 0        |
      | Claim              | siblings-test-key | none            | 1        |
      | ReadTopic          | another-key       | UNAUTHENTICATED | 0        |
      | ReadTopic          | none              | UNAUTHENTICATED | 0        |
      | ReadTopic          | siblings-test-key | none            | 1        |

  Scenario: A heartbeat is answered over a connection
    When a connection sends a heartbeat
    Then the connection receives its answer

  Scenario: An entry of an unknown kind does not end the stream
    When a connection sends an entry of an unknown kind and a heartbeat
    Then the connection receives its answer
    And the handler has counted 1 malformed entry

  Scenario Outline: The answer to a read of a topic reaches the caller
    Guards against a time that is taken from the clock of another VM.
    Given the server answers reads of a topic with <answer>
    When a VM whose clock is 500 seconds ahead reads the topic
    Then the read returns <answer>

    Examples:
      | answer              |
      | a page              |
      | a page with removal |
      | an empty page       |
      | lost history        |
      | another epoch       |
      | unavailable         |

  Scenario: Times of load reports are those of the receiver's clock
    When load reports are sent to a VM whose clock is 500 seconds ahead
    Then the reports have the same age there
    And the engine is reclaimed after the same time

  Scenario Outline: Load reports reach a sibling as datagrams
    Guards against datagrams that are too large for a packet, and against
    bytes of another program that end the exchange.
    Given two VMs that exchange datagrams
    When one sends <loads> load reports and <sends> sends after <before>
    Then the other has received <loads> load reports and <sends> sends
    And no message had more than 20 load reports or sends

    Examples:
      | loads | sends | before                 |
      | 1     | 0     | nothing                |
      | 0     | 3     | nothing                |
      | 59    | 25    | nothing                |
      | 2     | 2     | a malformed datagram   |
      | 2     | 2     | a heartbeat            |
      | 2     | 2     | an empty datagram      |

  Scenario: Sends with parts of prompts fit into packets
    When 100 sends with 4 parts of prompts are encoded
    Then each datagram fits into a packet of 1500 bytes

  Scenario: A refusal of the claim handler reaches the caller
    Given the claim handler refuses with "key_in_use"
    When a claim is sent
    Then the claim fails with "key_in_use"

  Scenario: A configuration whose digest does not match is refused
    Given the server has a configuration with a wrong digest
    When the configuration is fetched
    Then the fetch fails with "wrong_digest"

  Scenario: A configuration without an offset in the log can be fetched
    Guards against a VM that cannot send its configuration to siblings
    after the log has lost the records of it.
    Given the server has a configuration through offset -1
    When the configuration is fetched
    Then the fetched configuration is through offset -1
