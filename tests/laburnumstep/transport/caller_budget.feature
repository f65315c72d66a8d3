Feature: A budget of what is held for callers
  Guards against memory that grows with the number of callers, against small
  requests that are lost to large ones, and against refusals of requests that
  run. The budget is 1000 KB, for at most 9 connections and 12 descriptors.

  Scenario Outline: The budget is exceeded
    Given these connections: <connections>
    When connection <number> holds <size> KB
    Then the decisions are <decisions>
    And what is held is the sum of the open connections

    Examples: Bodies are paused before they are refused, the largest first
      | connections                            | number | size | decisions        |
      | 1 body 300, 2 body 200                 | 2      | 250  | none             |
      | 1 body 300, 2 body 200                 | 2      | 500  | pause 2          |
      | 1 body 500, 2 body 200                 | 2      | 300  | pause 1          |
      | 1 body 500, 2 body 200                 | 2      | 600  | pause 2,503 2    |
      | 1 body 50, 2 running 680               | 1      | 62   | pause 1          |
      | 1 body 30, 2 running 750               | 1      | 40   | none             |

    Examples: Answers that nobody reads go before requests that run
      | connections                            | number | size | decisions        |
      | 1 unread 300, 2 running 500            | 2      | 700  | close 1          |
      | 1 unread 300, 2 running 500, 3 idle 0  | 2      | 1000 | close 1,close 2  |
      | 1 unread 500, 2 unread 400             | 2      | 550  | close 2          |
      | 1 head 5, 2 running 900                | 1      | 10   | none             |
      | 1 running 500, 2 running 400           | 2      | 550  | close 2          |

  Scenario Outline: A request begins while the budget is nearly used
    Given these connections: <connections>
    When a request of connection <number> begins
    Then it <result> and the decisions are <decisions>

    Examples:
      | connections                                 | number | result  | decisions |
      | 1 running 900, 2 head 1                     | 2      | runs    | none      |
      | 1 running 490, 2 running 490, 3 head 1      | 3      | runs    | close 1   |
      | 1 unread 300, 2 running 680, 3 head 1       | 3      | runs    | close 1   |

  Scenario: Requests are refused when only small ones run
    Given small requests until one is refused
    Then the requests before it go on

  Scenario Outline: There are too many connections
    Given <count> connections that are <phase>
    When another connection opens with descriptor <descriptor>
    Then the decisions are <decisions>

    Examples:
      | count | phase   | descriptor | decisions |
      | 8     | idle    | 11         | none      |
      | 9     | idle    | 11         | close 1   |
      | 9     | head    | 11         | close 1   |
      | 9     | running | 11         | close 10  |
      | 2     | idle    | 12         | close 1   |

  Scenario Outline: A connection stalls
    Given these connections: <connections>
    When <seconds> seconds pass
    Then the decisions are <decisions>

    Examples: Heads may take 4 seconds, bodies may pause for 16
      | connections                     | seconds | decisions |
      | 1 head 5                        | 3.9     | none      |
      | 1 head 5                        | 4.1     | close 1   |
      | 1 body 5                        | 15.9    | none      |
      | 1 body 5                        | 16.1    | 408 1     |
      | 1 unread 100                    | 29.9    | none      |
      | 1 unread 100                    | 30.1    | close 1   |
      | 1 idle 0, 2 running 10          | 999     | none      |

    Examples: Bodies that wait for room are refused after 2 seconds
      | connections                     | seconds | decisions |
      | 1 body 300, 2 body 480          | 1.9     | none      |
      | 1 body 300, 2 body 480          | 2.1     | 503 1,resume 2 |
      | 1 body 180, 2 body 600          | 2.1     | 503 1,503 2 |
      | 1 body 90, 2 body 600           | 2.1     | none      |

  Scenario: A caller that accepts some bytes now and then
    Given these connections: 1 unread 100
    When its peer accepts a byte every 20 seconds, 9 times
    Then the decisions are none

  Scenario: Paused callers are read again
    Given these connections: 1 body 300, 2 body 480
    When connection 1 is closed by its caller
    Then the decisions are resume 2
    And nothing is held after all have closed

  Scenario: Any sequence of events
    When 3000 random events are recorded with seed 20261206
    Then what was held was always the sum of the open connections and within the budget
    And nothing is held after all have closed

  Scenario Outline: Limits are derived from those of the VM
    When limits are made for <memory> bytes and <descriptors> descriptors
    Then the budget is <budget> bytes for <connections> connections

    Examples:
      | memory    | descriptors | budget    | connections |
      | none      | none        | 16000000  | 1030        |
      | 128000000 | 1638        | 16000000  | 1030        |
      | 552000000 | 10250       | 228000000 | 7489        |
      | 64000000  | 100         | 8000000   | 1           |
