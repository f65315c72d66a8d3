Feature: A VM knows which targets are cold, and how many requests they take
  Guards against a cold time that is missed, that an old entry or an overtaken
  answer brings back or ends, and against a limit that stays for good.

  Background:
    Given a service whose cold targets take 10 requests a second and warm up in 8 seconds

  # At most 0.8 of the rate is issued. After the cold time the rate doubles
  # every two seconds for eight seconds.
  Scenario Outline: The rate follows entries and answers
    When a VM learns at these seconds of cold times: <events>
    Then the rate is <rate>

    Examples: the end of the cold time
      | events                                  | rate |
      | 1 entry 1/1 cold 0                      | none |
      | 1 entry 1/1                             | none |
      | 1 entry 1/1 cold 5                      | 8    |
      | 1 entry 1/1 cold 5; 5 waits             | 8    |
      | 1 entry 1/1 cold 5; 6 waits             | 8    |
      | 1 entry 1/1 cold 5; 8 waits             | 16   |
      | 1 entry 1/1 cold 5; 12 waits            | 64   |
      | 1 entry 1/1 cold 5; 14 waits            | none |
      | 1 entry 1/1 cold 5; 2 entry 1/2 cold 0; 4 waits | 16 |
      | 1 entry 1/1 cold 5; 20 waits; 21 entry 1/9 cold 5 | 8 |
      | 1 entry 1/1 cold 5; 9 entry 1/9 cold 5  | 8    |
      | 1 entry 1/1 cold 5; 8 entry 1/9 cold 0  | 16   |
      | 1 entry 1/1 cold 5; 2 entry 1/2; 3 waits | 8   |

    Examples: restarts and old entries
      | events                                            | rate |
      | 1 entry 1/1 cold 5; 2 entry 2/1 cold 0            | none |
      | 1 entry 2/1 cold 0; 2 entry 1/9 cold 5            | none |
      | 1 entry 1/9 cold 0; 2 entry 1/3 cold 5            | none |
      | 1 entry 1/9 cold 5; 2 entry 1/3 cold 0            | 8    |
      | 1 entry 1/9 cold 5; 2 entry 2/1                   | none |

    Examples: answers; the second after the sign is when the request was sent
      | events                                            | rate |
      | 1 entry 1/1 cold 0; 2 answer 5@1                  | 8    |
      | 1 entry 1/1 cold 0; 2 answer 0@1                  | none |
      | 1 entry 1/1 cold 5; 2 answer 0@1.5; 4 waits       | 16   |
      | 2 entry 1/1 cold 5; 3 answer 0@1; 4 waits         | 8    |
      | 2 entry 1/1 cold 2; 3 answer 5@1; 7 waits         | 8    |
      | 2 answer 5@1                                      | none |

    Examples: a limit that the target names as well
      | events                                            | rate |
      | 1 entry 1/1 cold 5; 2 names 3                     | 3    |
      | 1 entry 1/1 cold 5; 2 names 30                    | 8    |
      | 1 names 3; 2 entry 1/1 cold 5                     | 3    |
      | 1 names 30; 2 entry 1/1 cold 5                    | 8    |
      | 1 names 30; 2 entry 1/1 cold 5; 14 waits          | 30   |
      | 1 names 30; 2 entry 1/1 cold 5; 15 waits          | 30   |
      | 1 entry 1/1 cold 5; 2 names 3; 3 names none       | 8    |

    Examples: configurations
      | events                                            | rate |
      | 1 entry 1/1 cold 5; 2 configured 20               | 16   |
      | 1 entry 1/1 cold 5; 2 configured 0                | none |
      | 1 configured 0; 2 entry 1/1 cold 5; 3 configured 20 | 16 |
      | 1 configured 0.001; 2 entry 1/1 cold 5            | 0.1  |

  # Guards against a hold that ends because of a target that is not limited,
  # and against a limit that placement keeps after its end.
  Scenario Outline: Only limits that begin, change or end are announced
    When a VM learns at these seconds of cold times: <events>
    Then the announced rates are <rates>

    Examples:
      | events                                          | rates  |
      | 1 configured 0; 2 entry 1/1 cold 5; 20 waits    | none   |
      | 1 names 3; 2 configured 0; 3 entry 1/1 cold 5   | 3      |
      | 1 entry 1/1 cold 5; 2 entry 1/2 cold 4          | 8      |
      | 1 entry 1/1 cold 5; 2 entry 2/1 cold 0          | 8,none |
      | 1 entry 1/1 cold 5; 2 entry 2/1 cold 9          | 8,none,8 |
      | 1 entry 1/1 cold 5; 30 waits                    | 8,none |
      | 1 entry 1/1 cold 5; 2 configured 0              | 8,none |
      | 1 entry 1/1 cold 5; 2 names 3                   | 8,3    |

  # Guards against a limit that other VMs keep for a minute, although the
  # target has not named it.
  Scenario: A VM that issues permits does not keep the rate of a cold target
    Given a VM that does not know that the target is cold
    When another VM asks it for permits at the rate of the cold target
    Then it issues them at that rate and knows no limit
