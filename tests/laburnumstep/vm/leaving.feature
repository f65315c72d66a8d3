Feature: A leaving target gets no new work
  Guards against requests sent to an engine that will soon be reclaimed.

  Scenario: An engine announces its reclaim
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    When engine "gang-1" announces its reclaim
    And "vm-1" and "vm-2" know that "gang-1" is leaving
    And 12 generations are requested through "vm-1" and "vm-2"
    Then none of them started on "gang-1"
