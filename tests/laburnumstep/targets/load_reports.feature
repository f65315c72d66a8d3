Feature: Stale load reports are refreshed before a placement
  Guards against VMs that all choose the same engine because its report is
  several seconds old, and against concurrent requests that each read the
  same report.

  Scenario: A stale report is refreshed before a request is placed
    Given a follower of 3 engines whose reports are 2 seconds old
    When the reports of engine-0 and engine-1 may be 1 second old
    Then engine-0 and engine-1 have answered twice, engine-2 once

  Scenario: A new report is not refreshed
    Given a follower of 3 engines whose reports are 0 seconds old
    When the reports of engine-0 and engine-1 may be 1 second old
    Then all engines have answered once

  Scenario: Concurrent requests share the report of an engine
    Given a follower of 3 engines whose reports are 2 seconds old
    When 5 concurrent requests need a new report of engine-0
    Then engine-0 has answered twice, the others once

  Scenario: An engine that does not answer delays a request up to its deadline
    Given a follower of 3 engines whose reports are 2 seconds old
    And engine-0 stops answering
    When a request needs a new report of engine-0 within 0.1 seconds
    Then the request continues after 0.1 seconds

  Scenario Outline: Candidates are sampled from the local and remote regions
    Given a view of <near> local and <far> remote engines, <excluded> of them excluded
    When engines are sampled 200 times, 2 local and 1 remote
    Then each sample has <drawn_near> local and <drawn_far> remote ones, none excluded
    And every engine that is not excluded is sampled

    Examples:
      | near | far | excluded | drawn_near | drawn_far |
      | 5    | 5   | 0        | 2          | 1         |
      | 5    | 5   | 2        | 2          | 1         |
      | 1    | 5   | 0        | 1          | 2         |
      | 3    | 0   | 1        | 2          | 0         |
      | 0    | 4   | 0        | 0          | 3         |

  Scenario Outline: Engines that may leave unannounced are asked often
    Guards against runs that are lost because the entry of their engine,
    which announces that it leaves, cannot be read.
    Given a follower of an engine that <state>
    When 10 seconds pass for the follower
    Then the engine has answered <answers> times

    Examples:
      | state                     | answers  |
      | is announced when leaving | 1 to 3   |
      | may leave unannounced     | 20 to 26 |
