Feature: Routes and keys decide which service answers
  Guards against requests that reach a service without a matching route, and
  against an older configuration that replaces a newer one.

  Scenario Outline: Host, path and key select a route or an error
    Given a route table of version 5 in force
    When a request for "<host>" "<path>" arrives with key "<key>"
    Then it gets <result>

    Examples:
      | host  | path       | key     | result                     |
      | one   | /a/x       | k-port  | route a of workspace port  |
      | one   | /a/b/x     | k-port  | route ab of workspace port |
      | one   | /a/        | k-other | route a of workspace other |
      | one   | /a         | k-port  | error unknown_route        |
      | one   | /c/x       | k-port  | error unknown_route        |
      | two   | /a/x       | k-port  | error unknown_route        |
      | one   | /a/x       | wrong   | error unauthorized         |
      | one   | /a/x       |         | error unauthorized         |
      | one   | /open/x    |         | route open of workspace -  |
      | one   | /open/x    | wrong   | route open of workspace -  |

  Scenario Outline: An older version never replaces a newer one
    Given a route table of version 5 in force
    When version <version> without routes is applied
    Then a request for "one" "/a/x" gets <result>

    Examples:
      | version | result                    |
      | 4       | route a of workspace port |
      | 5       | route a of workspace port |
      | 6       | error unknown_route       |

  Scenario: Without a configuration a request is not run and the caller may resend it
    Given no route table in force
    When a request for "one" "/a/x" arrives with key "k-port"
    Then it gets error no_configuration
    And it was not run and may be resent

  Scenario: Requests are divided by weight
    Given a route with services "x" of weight 3 and "y" of weight 1
    Then about 75 of 100 requests go to "x"
