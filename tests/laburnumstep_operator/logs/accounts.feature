Feature: Tracing a failed request through the logs of VMs
  Guards against output of `explain` that no longer matches the operations
  page, and against a trace that omits the state that a decision depended on.

  Scenario: The trace of a broken stream has the state of its target
    Given the log of "front-1" contains
      """
      20.0 callers: routes in force; version=7 routes=12
      21.0 targets: target registered; target=i-34 data_centre=callao-a leaving=False
      21.5 targets: target registered; target=i-77 data_centre=callao-a leaving=False
      25.2 callers: placed request 795b20d889d1e2b2 of workspace nyny on target i-34: 74% memory, 0% prefix, 0 waiting, report 0.6 s old, another region; runners-up: none
      25.8 relay: sent request=795b20d889d1e2b2 route=r-1 target=i-34 send=1 outcome=Streaming detail=200 after_ms=600 left_ms=33763
      27.9 targets: target registered; target=i-34 data_centre=callao-a leaving=True
      27.9 relay: copy scheduled; request=795b20d889d1e2b2 target=i-34 wait_ms=1240 runs=5
      30.0 relay: stream broke; request=795b20d889d1e2b2 target=i-34 position=108 left_ms=29549 reason=cut
      30.0 front: ended request=795b20d889d1e2b2 route=r-1 outcome=outcome_unknown took_ms=4800
      """
    When request 795b20d889d1e2b2 is traced through the logs
    Then the trace is
      """
      known for 5.200 s: callers: routes in force; version=7
      known for 4.200 s: targets: target registered; target=i-34 data_centre=callao-a leaving=False
      25.200 front-1: callers: placed request 795b20d889d1e2b2
      25.800 front-1: relay: sent request=795b20d889d1e2b2
      known for 0.000 s: targets: target registered; target=i-34 data_centre=callao-a leaving=True
      27.900 front-1: relay: copy scheduled;
      30.000 front-1: relay: stream broke;
      30.000 front-1: front: ended request=795b20d889d1e2b2
      """

  Scenario: The trace of a refused request has the state of the log
    Given the log of "front-1" contains
      """
      10.0 callers: routes in force; version=7 routes=12
      20.0 log: topic is unavailable; topic=servers reason=connection refused
      23.4 relay: sent request=f870 route=r-2 target=i-9 send=1 outcome=NotReached detail=refused after_ms=4 left_ms=1990
      23.5 front: refused request=f870 path=/kale/1 code=no_target outcome=not_run reason="every target failed"
      """
    When request f870 is traced through the logs
    Then the trace is
      """
      known for 13.400 s: callers: routes in force; version=7
      known for 3.400 s: log: topic is unavailable; topic=servers
      23.400 front-1: relay: sent request=f870
      23.500 front-1: front: refused request=f870
      """

  Scenario: The trace of a request sent through two VMs is in order of time
    Given the log of "front-2" contains
      """
      2.0 relay: sent request=0df7 route=r-1 target=i-8 send=1 outcome=Streaming detail=200 after_ms=799 left_ms=33105
      9.0 relay: continue; request=0df7 target=i-40 position=159 reason=copied
      10.6 relay: stream ended; request=0df7 runs=2 position=206 first_ms=799 longest_pause_ms=336
      11.0 log lines dropped; lines=12
      """
    And the log of "front-1" contains
      """
      1.0 front: refused request=0df7 path=/kale/1 code=vm_stopping outcome=not_run reason="the VM is stopping"
      3.0 relay: sent request=0df70 route=r-1 target=i-8 send=1 outcome=Streaming detail=200 after_ms=9 left_ms=9
      not a line of a log
      """
    When request 0df7 is traced through the logs
    Then the trace is
      """
      1.000 front-1: front: refused request=0df7
      2.000 front-2: relay: sent request=0df7
      9.000 front-2: relay: continue; request=0df7
      10.600 front-2: relay: stream ended; request=0df7
      lines were dropped by: front-2
      lines that cannot be read: 1
      """

  Scenario: A request that no log contains
    Given the log of "front-1" contains
      """
      1.0 front: refused request=0df7 path=/kale/1 code=vm_stopping outcome=not_run reason="the VM is stopping"
      """
    When request abcd is traced through the logs
    Then the command exits with 1

  Scenario Outline: Invalid options of explain
    When explain runs with the options "<options>"
    Then the command exits with 2

    Examples:
      | options              |
      |                      |
      | --logs /no/such/logs |
