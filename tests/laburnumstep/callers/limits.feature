Feature: Limits of a workspace hold across VMs
  Guards against VMs that each grant the whole limit of a workspace, and
  against VMs that refuse all requests while they are disconnected.

  Scenario Outline: One VM enforces each limit
    Given a workspace with 10 requests a second, 4 in progress, 100 tokens a second
    When <requests> requests begin at once and <end>, with <tokens> tokens each
    Then <allowed> are allowed and the others refused as limit_exceeded
    And the first refused one is allowed at its time to resend, after ends

    Examples:
      | requests | end       | tokens | allowed |
      | 3        | end       | 1      | 3       |
      | 6        | go on     | 1      | 4       |
      | 15       | end       | 0      | 10      |
      | 6        | end       | 60     | 2       |

  Scenario Outline: Shares are valid until their deadline
    Given a workspace with 80 requests a second, 80 in progress, 8000 tokens a second
    And 8 VMs
    When a share of <fraction> until second <until> arrives
    And a share of <later> until second <later_until> arrives
    Then at second <second> the VM may use <part> of the limits

    Examples:
      | fraction | until | later | later_until | second | part  |
      | 0.5      | 5     | 0.5   | 5           | 4      | 0.5   |
      | 0.5      | 5     | 0.5   | 5           | 5      | 0.125 |
      | 0.5      | 5     | 0.2   | 6           | 4      | 0.2   |
      | 0.5      | 5     | 0.2   | 4           | 3      | 0.5   |
      | 0.0      | 5     | 0.0   | 5           | 4      | 0.0   |

  Scenario Outline: A refused workspace reports more demand than it uses
    Given a workspace with 1000 requests a second, 1000 in progress, 80 tokens a second
    And 8 VMs
    When <requests> requests with <tokens> tokens each begin within a second
    Then the reported demand is <demand> an eighth of the limits

    Examples:
      | requests | tokens | demand    |
      | 3        | 30     | more than |
      | 2        | 1      | not       |

  Scenario: An unknown workspace is refused
    Given a workspace with 10 requests a second, 4 in progress, 100 tokens a second
    Then a request of another workspace is refused as unauthorized

  Scenario Outline: The sum over connected VMs stays within the limit
    Given 8 VMs with an aggregator, messages delayed by up to <delay> seconds, seed <seed>
    And a workspace limited to <concurrency> requests in progress and <rate> a second
    When the demand moves from VM to VM for 60 seconds
    Then at no time do the shares in force add up to more than the limit
    And at no time are more than <concurrency> requests in progress
    And after 10 seconds with the same demand it gets at least 80% of the limit

    Examples:
      | delay | seed | concurrency | rate |
      | 0     | 1    | 80          | 400  |
      | 1     | 2    | 80          | 400  |
      | 2     | 3    | 80          | 400  |
      | 1     | 4    | 16          | 80   |

  Scenario: A partitioned VM gets a fair share, and the others stay within theirs
    Given 8 VMs with an aggregator, messages delayed by up to 1 seconds, seed 5
    And a workspace limited to 80 requests in progress and 400 a second
    When all VMs have demand for the whole limit for 20 seconds
    And vm-3 is disconnected for 20 seconds
    Then vm-3 may use an eighth of the limits
    And the shares of the other VMs add up to at most seven eighths

  Scenario: Without an aggregator each VM gets an equal share
    Given 8 VMs with an aggregator, messages delayed by up to 1 seconds, seed 6
    And a workspace limited to 80 requests in progress and 400 a second
    When all VMs have demand for the whole limit for 20 seconds
    And every VM is disconnected for 20 seconds
    Then each VM may use an eighth of the limits

  Scenario Outline: Limits are divided fairly with a minimum share
    Given demands of <demands>
    When the limits are divided with <slots> requests in progress
    Then the shares are <parts>

    Examples:
      | demands       | slots | parts               |
      | 1 1 1 1       | 100   | 0.25 0.25 0.25 0.25 |
      | 1 0 0 0       | 100   | 0.85 0.05 0.05 0.05 |
      | 1 0.2 0.1 0   | 100   | 0.65 0.2 0.1 0.05   |
      | 9 9 0 0       | 100   | 0.45 0.45 0.05 0.05 |
      | 0 0 0 0       | 100   | 0.25 0.25 0.25 0.25 |
      | 1 1 0 0       | 2     | 0.5 0.5 0 0         |
      | 1 1 1 1       | 3     | 0.33 0.33 0.33 0    |
