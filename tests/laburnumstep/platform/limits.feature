Feature: Servers on the platform get no more requests than they take
  Guards against a server in need that gets far more requests than the limit
  which it names in its answers.

  Background:
    Given a VM on the platform with one server

  # Guards against a VM that does not read the limit. At 0.1 requests a second
  # the fourth request is due half a minute after the first.
  Scenario Outline: A server that names a limit gets few requests
    Given the server answers 200 with "Server-Limit: 0.1"
    When 30 requests for "<path>" are sent one after the other
    Then the server received at most 4 requests
    And the others were refused as not run, with a time to come back

    Examples:
      | path      |
      | /safe/1   |
      | /unsafe/1 |
