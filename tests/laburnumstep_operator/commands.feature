Feature: Exit statuses and output of operators' commands
  Guards against an exit status of 0 after a conflicting publication, for a
  document with mistakes or when a VM does not answer: a script would treat it
  as success.

  Scenario Outline: Publishing a document
    Given a log
    And version <in_force> of "cuadrilla" is in force
    And a configuration document "<document>"
    When the operator runs: publish DOCUMENT --log LOG <options>
    Then the exit status is <status>
    And the output has "<text>"
    And the log contains <records> records

    Examples:
      | in_force | document      | options                          | status | text                            | records |
      | 0        | cuadrilla     | --made-from 0                    | 0      | version 1 is in force           | 1       |
      | 1        | two drained   | --made-from 1                    | 0      | version 2 is in force           | 2       |
      | 1        | cuadrilla     | --made-from 1                    | 0      | version 1 is in force already   | 1       |
      | 2        | cuadrilla     | --made-from 1                    | 3      | but version 2 is in force       | 2       |
      | 2        | cuadrilla     | --made-from 1 --json             | 3      | "in_force": 2                   | 2       |
      | 2        | cuadrilla     | --made-from 3                    | 3      | but version 2 is in force       | 2       |
      | 1        | two drained   | --made-from 1 --dry-run          | 0      | gang-1: leaving False -> True   | 1       |
      | 1        | two drained   | --made-from 1 --dry-run --json   | 0      | "would_be": 2                   | 1       |
      | 2        | cuadrilla     | --made-from 1 --dry-run          | 3      | but version 2 is in force       | 2       |
      | 1        | omake         | --made-from 1                    | 2      | belongs to the deployment cuadr | 1       |
      | 1        | mistakes      | --made-from 1                    | 2      | unknown_service                 | 1       |
      | 1        | cuadrilla     | --made-from -1                   | 2      | made-from                       | 1       |

  Scenario Outline: The log fails while a document is published
    Given a log
    And the log has the fault <fault>
    And a configuration document "cuadrilla"
    When the operator runs: publish DOCUMENT --log LOG --made-from 0 --timeout 1 <options>
    Then the exit status is <status>
    And the output has "<text>"

    Examples:
      | fault             | options | status | text                    |
      | {"outage": true}  |         | 1      | log_unavailable         |
      | {"outage": true}  | --json  | 1      | "may_be_in_force": false |
      | {"lost_replies": 1} |       | 0      | version 1 is in force   |

  Scenario Outline: Comparing a document with the published one
    Given a log
    And version <in_force> of "cuadrilla" is in force
    And a configuration document "<document>"
    When the operator runs: diff DOCUMENT --log LOG <options>
    Then the exit status is <status>
    And the output has "<text>"

    Examples:
      | in_force | document    | options | status | text                                |
      | 0        | cuadrilla   |         | 0      | + workspace workspace-0             |
      | 1        | two drained |         | 0      | ~ target gang-1: leaving            |
      | 1        | cuadrilla   |         | 0      | version 1 is in force; 0 changes    |
      | 1        | two drained | --json  | 0      | "change": "put_target"              |
      | 1        | omake       |         | 2      | wrong_deployment                    |

  Scenario: All mistakes of a document are reported at once
    Given a configuration document "mistakes"
    When the operator runs: check DOCUMENT --json
    Then the exit status is 2
    And the findings are "bad_document bad_document bad_digest unknown_service bad_document"

  Scenario Outline: Checking an input that is not a document
    Given a document file with the text <text>
    When the operator runs: check DOCUMENT
    Then the exit status is 2
    And the output has "<code>"

    Examples:
      | text                              | code         |
      | [1]                               | bad_document |
      | {"name": "x", "name": "y"}        | bad_json     |
      | {"name": 5}                       | bad_document |
      | {"name": "x", "targets": []}      | bad_document |
      | {"name": "x", "targets": {"t": 1}} | bad_document |
      | {"name": "x", "target": {}}       | bad_document |
      | {                                 | bad_json     |

  Scenario Outline: Querying VMs
    Given VMs in the states "<vms>"
    When the operator runs: <command> AT --key operators-test-key --timeout 2
    Then the exit status is <status>
    And the output has "<text>"

    Examples:
      | vms                   | command                                  | status | text                          |
      | at 3, at 3            | status                                   | 0      | version 3, digest d3          |
      | at 3, at 3            | status                                   | 0      | members 2                     |
      | at 3, at 4            | status                                   | 2      | do not have the same version  |
      | at 3, down            | status                                   | 1      | unreachable                   |
      | at 3, refuses         | status                                   | 1      | unauthorized: wrong key       |
      | at 3, crashes         | status --json                            | 1      | "code": "http_500"            |
      | at 3, garbles         | status                                   | 1      | no JSON                       |
      | at 3, at 3            | explain 1764800000000-5f2c9a01           | 0      | reason: least memory in use   |
      | down, at 3            | explain 1764800000000-5f2c9a01           | 0      | target: gang-1                |
      | at 3, at 3            | explain 1764800000000-ffffffff           | 1      | no VM remembers               |
      | at 3, at 3            | explain 1764800000000-5f2c9a01?x         | 1      | no VM remembers               |
      | down, at 3            | drain --target gang-1                    | 0      | gang-1 is draining            |
      | refuses, crashes      | drain --vm vm-7                          | 1      | no VM accepted to drain vm-7  |
      | at 3                  | drain --vm vm-7 --target gang-1          | 2      | either --target or --vm       |
      | at 3                  | drain                                    | 2      | either --target or --vm       |
      | at 3, at 3            | culprits                                 | 0      | traits: part:m:dead part:m:f  |
      | at 3, down            | culprits                                 | 1      | the culprits are not known    |
      | down, at 3            | culprits --refuse part:m:x               | 0      | traits: part:m:x              |
      | down, at 3            | culprits --clear part:m:dead             | 0      | traits: none                  |
      | refuses, crashes      | culprits --clear part:m:dead             | 1      | unauthorized: wrong key       |
      | at 3                  | culprits --clear part:m:x --refuse request:1 | 2  | either --refuse or --clear    |
      | at 3                  | culprits --clear dead                    | 2      | part:MODEL:ID                 |
      | at 3                  | status --key short                       | 2      | key is missing or shorter     |
      | at 3                  | status --key-file absent                 | 2      | --key-file                    |

  Scenario: A drain order is sent to VMs in turn until one accepts it
    Given VMs in the states "refuses, at 3, at 3"
    When the operator runs: drain --target gang-1 AT --key operators-test-key
    Then the VMs accepted "0 1 0" drain orders {"target": "gang-1"}

  Scenario Outline: Invalid command lines
    When the operator runs: <command>
    Then the exit status is 2
    And the output has "<text>"

    Examples:
      | command                                 | text        |
      | status --at localhost:9000 --key k      | IP number   |
      | diff x.json --log 127.0.0.1             | IP number   |
      | publish x.json --log 127.0.0.1:1        | made-from   |
      | explain --at 127.0.0.1:1                | Missing     |
