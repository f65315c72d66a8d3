Feature: Load reports are read again when placement needs them
  Guards against VMs that place requests by reports of several seconds ago
  and so all choose the engine that was empty then, and against reports
  that every waiting request reads for itself.

  Scenario: An old report is read again before a request is placed
    Given a follower of 3 engines whose reports are 2 seconds old
    When the reports of engine-0 and engine-1 may be 1 second old
    Then engine-0 and engine-1 have answered twice, engine-2 once

  Scenario: A new report is used as it is
    Given a follower of 3 engines whose reports are 0 seconds old
    When the reports of engine-0 and engine-1 may be 1 second old
    Then all engines have answered once

  Scenario: Requests that wait for one engine share its report
    Given a follower of 3 engines whose reports are 2 seconds old
    When 5 requests at once want a new report of engine-0
    Then engine-0 has answered twice, the others once

  Scenario: A silent engine does not hold a request up
    Given a follower of 3 engines whose reports are 2 seconds old
    And engine-0 does not answer any more
    When a request wants a new report of engine-0 within 0.1 seconds
    Then the request goes on after 0.1 seconds

  Scenario Outline: Engines to compare are drawn from the regions
    Given a view of <near> engines near and <far> far, <excluded> of them excluded
    When engines are drawn 200 times, 2 near and 1 far
    Then each draw has <drawn_near> near and <drawn_far> far, none excluded
    And every engine that is not excluded is drawn

    Examples:
      | near | far | excluded | drawn_near | drawn_far |
      | 5    | 5   | 0        | 2          | 1         |
      | 5    | 5   | 2        | 2          | 1         |
      | 1    | 5   | 0        | 1          | 2         |
      | 3    | 0   | 1        | 2          | 0         |
      | 0    | 4   | 0        | 0          | 3         |
