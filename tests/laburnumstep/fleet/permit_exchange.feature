Feature: All VMs together keep to the limit that a target has named
  Guards against a target in need that gets its limit from each VM, and
  against a limit that is divided so finely that most of it stays unused.
  A limit is kept if no four seconds have more than one and a half times what
  it allows and five requests.

  # Guards against VMs that each bound only their own requests, and against
  # shares that are too small for a single request.
  Scenario Outline: A limited target gets what it takes and no more
    Given <vms> VMs and a target that takes <rate> requests a second
    When callers send <demand> requests a second to <spread> of them for <seconds> seconds
    Then the limit is kept
    And at least <share> of what the target takes is sent after 8 seconds

    Examples:
      | vms | rate | demand | spread | seconds | share |
      | 1   | 1    | 5      | all    | 40      | 0.9   |
      | 3   | 1    | 5      | all    | 40      | 0.9   |
      | 3   | 20   | 60     | all    | 30      | 0.9   |
      | 3   | 20   | 60     | one    | 30      | 0.9   |
      | 9   | 0.4  | 3      | all    | 90      | 0.9   |
      | 9   | 5    | 15     | all    | 40      | 0.9   |
      | 9   | 5    | 15     | one    | 40      | 0.9   |
      | 9   | 200  | 400    | all    | 20      | 0.9   |
      | 195 | 0.4  | 20     | all    | 90      | 0.9   |
      | 195 | 1    | 20     | all    | 40      | 0.9   |
      | 195 | 10   | 60     | all    | 30      | 0.9   |
      | 195 | 10   | 60     | one    | 30      | 0.9   |
      | 195 | 100  | 300    | all    | 20      | 0.9   |

  # Guards against two VMs that both issue all permits, and against a fleet
  # that stops sending because the VM that issued them is gone.
  Scenario Outline: The limit is kept while VMs come, go and lose each other
    Given <vms> VMs and a target that takes <rate> requests a second
    And after 10 seconds <fault>
    When callers send <demand> requests a second to all of them for 40 seconds
    Then the limit is kept
    And at least <share> of what the target takes is sent after 20 seconds

    Examples:
      | vms | rate | demand | fault                                    | share |
      | 3   | 4    | 12     | the VM that issues permits is killed     | 0.9   |
      | 9   | 4    | 12     | the VM that issues permits is killed     | 0.9   |
      | 195 | 4    | 40     | the VM that issues permits is killed     | 0.9   |
      | 195 | 0.5  | 40     | the VM that issues permits is killed     | 0.9   |
      | 9   | 4    | 12     | 6 VMs join                               | 0.9   |
      | 195 | 4    | 40     | 60 VMs join                              | 0.9   |
      | 3   | 4    | 12     | 1 VMs are cut off                        | 0.9   |
      | 9   | 4    | 12     | 4 VMs are cut off                        | 0.9   |
      | 9   | 20   | 60     | 4 VMs are cut off                        | 0.9   |
      | 195 | 20   | 60     | 97 VMs are cut off                       | 0.9   |
      | 10  | 20   | 60     | 5 VMs are cut off                        | 0.4   |
      | 9   | 20   | 60     | all VMs are cut off from each other      | 0.4   |
      | 195 | 20   | 60     | all VMs are cut off from each other      | 0.4   |
      | 9   | 4    | 12     | one datagram of ten is lost              | 0.9   |
      | 195 | 4    | 40     | one datagram of ten is lost              | 0.9   |

  # Guards against a target that crashes shortly after its start, because the
  # VMs together send it more than it takes in one second.
  Scenario Outline: A cold target gets what it takes in each second and no more
    Given <vms> VMs and a <known> target that takes <rate> requests a second for 20 seconds
    When callers send <demand> requests a second to <spread> of them for 30 seconds
    Then no second of the cold time has more than one and a half times the rate and five
    And at least <share> of what the cold target takes is sent after 6 seconds
    And the arrivals rise at most fourfold in 5 seconds after the cold time

    Examples:
      | vms | known   | rate | demand | spread | share |
      | 1   | new     | 2    | 20     | all    | 0.7   |
      | 9   | new     | 1    | 20     | all    | 0.7   |
      | 9   | new     | 20   | 200    | all    | 0.7   |
      | 9   | new     | 20   | 200    | one    | 0.7   |
      | 80  | new     | 2    | 100    | all    | 0.7   |
      | 80  | new     | 10   | 200    | all    | 0.7   |
      | 80  | new     | 60   | 600    | all    | 0.7   |
      | 80  | known   | 10   | 200    | all    | 0.7   |
      | 80  | known   | 60   | 600    | one    | 0.7   |

  # Guards against two VMs that both issue all permits, and against shares of
  # VMs that cannot reach the owner beside all of its permits.
  Scenario Outline: A cold target is spared while VMs lose each other
    Given <vms> VMs and a <known> target that takes <rate> requests a second for 20 seconds
    And after <second> seconds <fault>
    When callers send <demand> requests a second in bursts to all of them for 30 seconds
    Then no second of the cold time has more than one and a half times the rate and five
    And at least <share> of what the cold target takes is sent after 12 seconds

    Examples:
      | vms | known | rate | demand | second | fault                                        | share |
      | 9   | new   | 20   | 200    | 0.5    | the VM that issues permits is killed         | 0.5   |
      | 80  | new   | 10   | 200    | 5      | the VM that issues permits is killed         | 0.5   |
      | 80  | new   | 60   | 600    | 5      | the VM that issues permits is killed         | 0.5   |
      | 80  | known | 10   | 200    | 5      | the VM that issues permits is cut off        | 0.5   |
      | 80  | new   | 60   | 600    | 5      | the VM that issues permits is cut off        | 0.5   |
      | 9   | new   | 20   | 200    | 5      | the VM that issues permits answers late      | 0.15  |
      | 80  | new   | 10   | 200    | 0.1    | the VM that issues permits answers late      | 0.15  |
      | 80  | new   | 60   | 600    | 5      | the VM that issues permits answers late      | 0.15  |
      | 9   | new   | 20   | 200    | 0.1    | half of the VMs take another one for it      | 0.5   |
      | 80  | new   | 10   | 200    | 0.1    | half of the VMs take another one for it      | 0.5   |
      | 80  | new   | 10   | 200    | 5      | half of the VMs take another one for it      | 0.5   |
      | 80  | new   | 60   | 600    | 5      | half of the VMs take another one for it      | 0.5   |
      | 80  | known | 60   | 600    | 5      | half of the VMs take another one for it      | 0.5   |
      | 80  | new   | 10   | 200    | 5      | 39 VMs are cut off                           | 0.5   |
      | 80  | new   | 10   | 200    | 5      | all VMs are cut off from each other          | 0.15  |
      | 80  | new   | 60   | 600    | 5      | one datagram of ten is lost                  | 0.4   |

  # Guards against a target that only one VM spares, because its entry cannot
  # be read and one VM has heard from the target itself that it is cold.
  Scenario Outline: What one VM learns of a cold target reaches the others
    Given 9 VMs and a known target that takes 10 requests a second for 0 seconds
    When <second> seconds later an answer to one VM says that it is cold for 20 seconds
    Then <count> VMs limit it

    Examples:
      | second | count |
      | 1      | 9     |
      | 12     | 9     |

  # Guards against a VM that goes on with what a target said before.
  Scenario Outline: VMs follow a limit that changes
    Given <vms> VMs and a target that takes <before> requests a second
    And after 10 seconds the target takes <after> requests a second
    When callers send 60 requests a second to all of them for 40 seconds
    Then the limit is kept
    And at least <share> of what the target takes is sent after 20 seconds

    Examples:
      | vms | before | after  | share |
      | 3   | 20     | 2      | 0.9   |
      | 9   | 2      | 20     | 0.9   |
      | 9   | 0.1    | 20     | 0.9   |
      | 195 | 20     | 0.4    | 0.9   |
      | 195 | 0.4    | 10     | 0.9   |

  # Guards against a target that stays limited after its need has ended.
  Scenario Outline: A limit that has ended binds no VM
    Given <vms> VMs and a target that takes <rate> requests a second
    And after 10 seconds the target ends its limit
    When callers send 20 requests a second to all of them for 40 seconds
    Then at least 0.9 of what callers send is sent after 24 seconds

    Examples:
      | vms | rate |
      | 3   | 2    |
      | 195 | 0.1  |

  # Guards against an error or an endless permit because of what a sibling in
  # trouble sends.
  Scenario Outline: A malformed message about permits changes nothing
    Given 2 VMs and a target that takes 1 requests a second
    When a VM receives <message>
    Then it answers nothing and knows no limit

    Examples:
      | message                            |
      | a question with the rate nan       |
      | a question with the rate inf       |
      | a question with the rate -1        |
      | a question with the rate 0         |
      | a question with the age inf        |
      | a question for no permits          |
      | an answer that nobody asked for    |
      | an entry with the rate -1          |
      | an entry with the rate 1e400       |
      | an entry with the rate "x"         |
      | an entry with the rate 1, 2        |
      | an entry that is not JSON          |
      | an entry that a target is cold for 601 seconds |
      | an entry that a target is cold for -1 seconds |
