Feature: A request that crashes engines is stopped
  Guards against one request that crashes every engine because it is sent
  repeatedly through different VMs.

  Scenario: A request that crashed two engines is refused, and other requests continue
    Given VMs "vm-1" and "vm-2" and answers of 5 tokens
    And engines crash on the prompt "poison"
    When the prompt "poison" is sent through "vm-1" until it is refused
    Then at most 2 engines have crashed
    When the prompt "poison" is sent through "vm-2" until it is refused
    Then at most 2 engines have crashed
    And the prompt "healthy" is answered through "vm-2"
