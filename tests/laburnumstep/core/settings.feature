Feature: Settings files are checked as a whole
  Guards against a VM that starts with the valid part of an invalid settings
  file, and against reports of only one mistake at a time.

  Background:
    Given a valid settings file

  Scenario: A valid file is accepted
    When the settings are parsed
    Then there are no findings

  Scenario Outline: A mistake is reported with its position
    Given key "<key>" in section "<section>" is "<value>"
    When the settings are parsed
    Then there is a finding "<code>" at "<section>" "<key>" with a line

    Examples:
      | section | key         | value         | code        |
      | vm      | name        | not a name    | bad_value   |
      | callers | address     | localhost:1   | bad_value   |
      | callers | address     | 127.0.0.1     | bad_value   |
      | callers | adress      | 127.0.0.1:1   | unknown_key |
      | siblings | key        | short         | bad_value   |
      | logging | level       | loud          | bad_value   |
      | vm      | stop_seconds | -1           | bad_value   |
      | callers | certificate | absent.pem    | bad_value   |

  Scenario: All mistakes are reported together
    Given key "name" in section "vm" is missing
    And key "adress" in section "log" is "127.0.0.1:1"
    And key "level" in section "logging" is "loud"
    When the settings are parsed
    Then there are 3 findings

  Scenario: The settings page matches the printed documentation
    Then docs/settings.md equals the printed documentation

  Scenario Outline: The command line reports findings
    Given key "level" in section "logging" is "<level>"
    When "laburnumstep check" runs on the file
    Then it exits with <status> and prints "<text>"

    Examples:
      | level | status | text        |
      | info  | 0      | no findings |
      | loud  | 2      | bad_value   |
