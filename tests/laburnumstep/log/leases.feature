Feature: At most one VM holds a lease
  Guards against two VMs that use the same lease at once, and against a
  lease that no VM acquires after its holder is lost.

  Background:
    Given VMs "a" and "b" that request the same lease

  Scenario: One of several VMs acquires the lease and renews it
    When a VM holds the lease
    And time passes for 90 seconds
    Then the same VM holds the lease with the same fencing token

  Scenario: A VM that asks for a held lease does not get it
    When a VM holds the lease
    And a lease record of another VM is in the leases stream
    And time passes for 5 seconds
    Then the same VM holds the lease with the same fencing token

  Scenario: A holder that was paused past its lease has lost it when it resumes
    When a VM holds the lease
    And the holder is paused until the other VM holds the lease
    And the paused VM resumes
    Then only the other VM holds the lease
    And its fencing token is higher

  Scenario: A lease expires while the log is down and is acquired again
    When a VM holds the lease
    And the leases log is down for 40 seconds
    Then no VM holds the lease
    When the leases log is up
    Then a VM holds the lease with a higher fencing token

  Scenario: The reply to a lease's append is lost
    Given the leases log loses the next 2 replies
    When a VM holds the lease
    Then exactly one VM holds the lease

  Scenario: A restarted VM does not take over the lease of its name
    When a VM holds the lease
    And the holder dies and a VM with its name starts
    And time passes for 3 seconds
    Then no VM holds the lease
    When time passes for 40 seconds
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
    Given a lease record of another VM that should last 1000000 seconds
    When time passes for 40 seconds
    Then exactly one VM holds the lease

  # Guards against two holders whose orders an engine cannot tell apart, because
  # the log gives the same offset out again.
  Scenario: A lease after the log has come back older has a higher fencing token
    When a VM holds the lease
    And the leases log comes back without any record
    And time passes for 40 seconds
    Then a VM holds the lease with a higher fencing token
    And exactly one VM holds the lease
