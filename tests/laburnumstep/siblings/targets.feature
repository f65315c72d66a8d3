Feature: Every VM knows which targets get no new work
  Guards against new work for a leaving target, and against a fault of one
  VM because of which all others send no new work to available targets.

  Scenario Outline: A leaving report reaches every reachable VM within 3 s
    Given <count> VMs that know each other
    And the network has fault "<fault>"
    When vm-1 announces that "engine-1" is leaving
    And 3 s pass for the VMs
    Then the reachable VMs see "engine-1" as "leaving"

    Examples:
      | count | fault                       |
      | 8     | none                        |
      | 50    | none                        |
      | 50    | a tenth of messages is lost |
      | 50    | ten VMs have ended          |
      | 50    | a third of links cut        |

  Scenario Outline: The VM list does not undo a leaving report
    Given 8 VMs that know each other
    And vm-1 has announced that "engine-1" is leaving
    When the VM list shows target "engine-1" as "<listed>" <age> s ago
    And 2 s pass for the VMs
    Then all VMs see "engine-1" as "leaving"

    Examples:
      | listed | age |
      | live   | 0   |
      | live   | 60  |
      | absent | 0   |

  Scenario: A leaving report outlasts a VM list that shows the target as live
    Given 8 VMs that know each other
    When the VM list shows target "engine-1" as "leaving" 0 s ago to vm-3
    And the VM list shows target "engine-1" as "live" 0 s ago
    And 2 s pass for the VMs
    Then all VMs see "engine-1" as "leaving"
    And vm-5 has a report of vm-3 with source "vmlist"

  Scenario Outline: Reports of one VM about one target
    Given 8 VMs that know each other
    When vm-1 reports "<first>" and then "<second>" for "engine-1"
    And <seconds> s pass for the VMs
    Then all VMs see "engine-1" as "<status>"

    Examples:
      | first       | second      | seconds | status    |
      | leaving 60  | failed      | 1       | leaving   |
      | leaving 4   | failed      | 3       | leaving   |
      | failed      | leaving 60  | 15      | leaving   |
      | leaving 60  | leaving 5   | 20      | leaving   |
      | leaving 5   | leaving 60  | 20      | leaving   |
      | leaving 5   | none        | 6       | available |
      | failed      | none        | 1       | failed    |
      | failed      | none        | 11      | available |

  Scenario Outline: A failure counts in its data centre or with a quorum elsewhere
    Given VMs vm-0 and vm-1 in lima-1, vm-2 in lima-2, vm-3 in piura-1
    When <observers> report that "engine-1" failed
    And 1 s pass for the VMs
    Then vm-1 sees target "engine-1" as "<near>"
    And vm-3 sees target "engine-1" as "<far>"

    Examples:
      | observers  | near      | far       |
      | vm-0       | failed    | available |
      | vm-0, vm-1 | failed    | available |
      | vm-0, vm-2 | failed    | failed    |
      | vm-3       | available | failed    |

  Scenario: A target that every VM announces as leaving takes up one entry
    Given 50 VMs that know each other
    When vm-1 announces that "engine-1" is leaving
    And 1 s pass for the VMs
    And every VM announces that "engine-1" is leaving
    Then there is 1 entry about "engine-1"

  Scenario: Malformed entries among valid ones
    Given 8 VMs that know each other
    When vm-1 receives a leaving report for "engine-1" among malformed entries
    And 1 s pass for the VMs
    Then all VMs see "engine-1" as "leaving"
    And no VM has stored a malformed entry
