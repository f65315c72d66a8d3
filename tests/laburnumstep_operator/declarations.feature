Feature: Declaring a deployment in a program
  Guards against mistakes that are reported one by one, so that each needs
  another run, or that are reported only after the configuration is published.

  Scenario: A correct program prints a document that the check accepts
    Given a program that declares a correct deployment
    When the program runs
    Then its exit status is 0
    And the check accepts its output

  Scenario Outline: A mistake is reported with file and line
    Given a program that declares a correct deployment
    And its line 99 is <declaration>
    When the program runs
    Then its exit status is 2
    And nothing is on its standard output
    And "program.py:99" is reported with "<code>"

    Examples:
      | declaration                                                                                                                                 | code                |
      | b.add_place('lima', 'lima', ['lima-3'])                                                                                                     | declared_twice      |
      | b.add_place('Lima y Piura', 'lima', ['lima-3'])                                                                                             | bad_name            |
      | b.add_place('piura', 'piura', [])                                                                                                           | no_data_centre      |
      | b.add_place('piura', 'piura', ['lima-1'])                                                                                                   | data_centre_twice   |
      | b.add_service('roster', {})                                                                                                                 | no_operation        |
      | b.add_service_target('s-2', data_centre='lima-1', address='127.0.0.1:9', service='bookings')                                                | unknown_service     |
      | b.add_service_target('s-2', data_centre='lima-9', address='127.0.0.1:9', service='booking')                                                 | unknown_data_centre |
      | b.add_service_target('s-2', data_centre='lima-1', address='db.example:9', service='booking')                                                | bad_address         |
      | b.add_service_target('s-2', data_centre='lima-1', address='127.0.0.1:7001', service='booking')                                              | address_twice       |
      | b.add_engine('e-2', data_centre='lima-1', address='127.0.0.1:9', models=[], kv_tokens=5, checks_fence=True)                                 | no_model            |
      | b.add_engine('e-2', data_centre='lima-1', address='127.0.0.1:9', models=['m'], kv_tokens=0, checks_fence=True)                              | bad_value           |
      | b.add_workspace('w', key_digest='secret', requests_per_second=1, concurrency=1, tokens_per_second=1)                                        | bad_digest          |
      | b.add_workspace('w', key_digest=digest_secret('s'), requests_per_second=0, concurrency=1, tokens_per_second=1)                              | bad_value           |
      | b.set_weights(stall=-1, preemption=1, tail=1)                                                                                               | bad_value           |
      | b.set_link('lima', 'piura', bytes_per_second=1000)                                                                                          | unknown_region      |
      | b.set_link('lima', 'lima', bytes_per_second=1000)                                                                                           | bad_link            |

  Scenario: All mistakes are reported together
    Given a program that declares a correct deployment
    And its line 99 is b.add_service('roster', {})
    And its line 100 is b.set_weights(stall=-1, preemption=1, tail=1)
    When the program runs
    Then "program.py:99" is reported with "no_operation"
    And "program.py:100" is reported with "bad_value"

  Scenario Outline: The example programs print documents that can be published
    Given the example program "<program>"
    When the example runs with "<target>" at the address "127.0.0.1:40001"
    Then its exit status is 0
    And the check accepts its output
    And target "<target>" has the address "127.0.0.1:40001"

    Examples:
      | program   | target    |
      | cuadrilla | gang-1    |
      | cuadrilla | booking-3 |
      | omake     | letter-6  |
      | omake     | ledger-2  |
