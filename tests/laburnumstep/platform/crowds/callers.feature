Feature: Bounds on crowds leave single callers alone
  Guards against bounds that refuse a caller that keeps to the limits, that
  lose or reorder requests that were sent ahead, and against connections that
  stay for ever because their caller stopped in the middle.

  Scenario Outline: A caller that keeps to the limits
    Given a process with 128 MB of memory and 1638 descriptors
    When a caller sends <message> and reads <piece> bytes at a time
    Then it gets <count> answers with status 200 and <size> bytes each

    Examples:
      | message                          | piece | count | size    |
      | a body of 4194304 bytes          | 65536 | 1     | 6       |
      | 5 requests for 2 MB each         | 65536 | 5     | 2000000 |
      | 5 requests for 2 MB each         | 4096  | 5     | 2000000 |
      | 300 requests for 4 bytes each    | 100   | 300   | 6       |

  Scenario: A request is answered before its body has arrived
    Given a process whose configuration allows 200 ms for heads and pauses
    When a caller sends a body of 4 MB for no route and a request, slowly
    Then its answers have the statuses 404 and 200

  Scenario Outline: A caller that stops in the middle
    Given a process whose configuration allows 200 ms for heads and pauses
    When a caller sends <message> and waits for the end
    Then it gets <answer>

    Examples:
      | message                          | answer     |
      | a part of a head                 | no answer  |
      | 1 MB of a body of 4 MB           | status 408 |
