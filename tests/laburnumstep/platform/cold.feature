Feature: The cold time of servers is read from entries and configurations
  Guards against a cold time that is missed or read from an odd value, and
  against renewals that let all VMs apply their targets anew each second.

  Scenario Outline: The cold time of an entry is read
    When an entry with the cold time <value> is written
    Then the target is registered and its cold time is <seconds>

    Examples:
      | value  | seconds |
      | 2500   | 2.5     |
      | 0      | 0       |
      | null   | none    |
      | 0.5    | 0.0005  |
      | 1e300  | 600     |
      | 1e999  | 600     |
      | 99999999999999999999999999 | 600 |
      | -1     | none    |
      | NaN    | none    |
      | true   | none    |
      | "2500" | none    |
      | [1]    | none    |

  Scenario Outline: The rate of cold servers is read from the configuration
    When a configuration with <fields> in a service is written
    Then it is in force and its cold targets take <rate> and warm up in <ramp> seconds

    Examples:
      | fields                              | rate    | ramp |
      | {}                                  | none    | none |
      | {"coldPerS": 0, "coldStartS": 20}   | none    | none |
      | {"coldPerS": 4, "coldStartS": 20}   | 4       | 20   |
      | {"coldPerS": 4}                     | 4       | 0    |
      | {"coldPerS": 4, "coldStartS": 1e9}  | 4       | 600  |
      | {"coldPerS": 1e99, "coldStartS": 2} | 1000000 | 2    |
      | {"coldPerS": "4", "coldStartS": 20} | none    | none |
      | {"coldPerS": -4, "coldStartS": 20}  | none    | none |
      | {"coldPerS": 4, "coldStartS": []}   | 4       | 0    |

  # Guards against a cold time that counts down in each renewal and lets every
  # VM read and apply all of them.
  Scenario Outline: A renewal is told from a server that has become cold anew
    Given an entry with <before>
    When it is written again with <after>
    Then it counts as <result>

    Examples:
      | before                                | after                                 | result    |
      | {"coldRemainingMs": 0}                | {"coldRemainingMs": 0, "sequence": 9} | a renewal |
      | {"coldRemainingMs": 9000}             | {"coldRemainingMs": 8000}             | a renewal |
      | {"coldRemainingMs": 9000}             | {"coldRemainingMs": 9000}             | a renewal |
      | {"coldRemainingMs": 8000}             | {"coldRemainingMs": 9000}             | changed   |
      | {"coldRemainingMs": 0}                | {"coldRemainingMs": 9000}             | changed   |
      | {"coldRemainingMs": 9000}             | {"coldRemainingMs": 0}                | changed   |
      | {}                                    | {"coldRemainingMs": 9000}             | changed   |
      | {}                                    | {"coldRemainingMs": 0}                | a renewal |
      | {"coldRemainingMs": 9000}             | {"coldRemainingMs": 8000, "state": "draining"} | changed |
      | {"coldRemainingMs": "x"}              | {"coldRemainingMs": "y"}              | changed   |
      | {"coldRemainingMs": NaN}              | {"coldRemainingMs": 8000}             | changed   |

  Scenario: Entries whose cold time counts down do not change the targets
    When entries with the cold times 9000 8000 7000 9000 0 are written
    Then the targets were published once

  # Guards against a VM on which the cold time does not reach the permits. At
  # most one request is sent at once and one every two seconds afterwards.
  Scenario Outline: A cold server on the platform gets few requests
    Given a VM on the platform with one server
    When cold servers take <rate> requests a second and the server is cold for <value> ms
    And 30 requests for "/safe/1" are sent one after the other
    Then <count> requests reached the server at most, and <least> at least

    Examples:
      | rate | value | count | least |
      | 2    | 60000 | 4     | 1     |
      | 2    | 0     | 30    | 30    |
      | 0    | 60000 | 30    | 30    |

  # Guards against answers whose word about the cold time is not taken.
  Scenario: A server that answers that it is cold gets few requests
    Given a VM on the platform with one server
    When cold servers take 2 requests a second and the server is cold for 0 ms
    And the server answers 200 with the headers "Cold-Ms: 60000"
    And 30 requests for "/safe/1" are sent one after the other
    Then 5 requests reached the server at most, and 1 at least
