Feature: At most one VM holds a lease by the log's order
  Guards against two VMs that both go on to act under one lease, and
  against a lease that nobody takes after its holder is lost.

  Background:
    Given VMs "a" and "b" that want one lease

  Scenario: One of several VMs gets the lease and keeps it
    When a VM holds the lease
    And time runs for 90 seconds
    Then the same VM holds the lease with the same fencing number

  Scenario: A VM that asks for a held lease does not get it
    When a VM holds the lease
    And a lease record of another VM is in the leases stream
    And time runs for 5 seconds
    Then the same VM holds the lease with the same fencing number

  Scenario: A paused holder finds its lease ended when it resumes
    When a VM holds the lease
    And the holder is paused until the other VM holds the lease
    And the paused VM resumes
    Then only the other VM holds the lease
    And its fencing number is higher

  Scenario: A lease ends when the log is down and is taken again
    When a VM holds the lease
    And the leases log is down for 40 seconds
    Then no VM holds the lease
    When the leases log is up
    Then a VM holds the lease with a higher fencing number

  Scenario: The reply to a lease's append is lost
    Given the leases log loses the next 2 replies
    When a VM holds the lease
    Then exactly one VM holds the lease

  Scenario: A restarted VM does not take over the lease of its name
    When a VM holds the lease
    And the holder dies and a VM of its name starts
    And time runs for 3 seconds
    Then no VM holds the lease
    When time runs for 40 seconds
    Then exactly one VM holds the lease

  Scenario Outline: A malformed record in the leases stream is skipped
    Given the record <record> is in the leases stream
    When a VM holds the lease
    Then exactly one VM holds the lease

    Examples:
      | record                                  |
      | 7                                       |
      | {"type": "acquire"}                     |
      | {"type": "other"}                       |
      | {"type": "acquire", "resource": "orders/lima-1", "vm": "x", "holder": "x", "serial": "y", "fence": 1, "until": 1} |

  Scenario: A VM with a wrong clock cannot hold a lease for longer
    Given a lease record that claims to last 1000000 seconds
    When time runs for 40 seconds
    Then exactly one VM holds the lease
