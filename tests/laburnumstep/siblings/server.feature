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

  Scenario: A heartbeat is answered over a connection
    When a connection sends a heartbeat
    Then the connection receives its answer

  Scenario: An entry of an unknown kind does not end the stream
    When a connection sends an entry of an unknown kind and a heartbeat
    Then the connection receives its answer
    And the handler has counted 1 malformed entry

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
