Feature: The pace of engines is learned from the events of their streams
  Guards against streams that are sent to engines whose pauses miss their
  objective, and against a pace that callers or siblings falsify.

  Scenario Outline: Only times that the engine has caused count
    Guards against a slow caller or VM that makes an engine look slow.
    Given 30 events arrive 40 ms apart, after which <events>
    Then the stream shows <gaps> gaps, 10 ms a token and a pause of <pause> ms

    Examples:
      | events                                         | gaps | pause |
      | nothing happens                                | 29   | 40    |
      | 2 events arrive 180 ms apart                   | 31   | 180   |
      | 1 event arrives 180 ms later                   | 30   | 40    |
      | 2 events arrive 180 ms apart to a slow caller  | 29   | 40    |
      | 2 events arrive 1800 ms apart                  | 29   | 40    |
      | 2 batches of 3 events arrive 180 ms apart      | 29   | 40    |

  Scenario Outline: An engine is expected to run as it did
    Given 5 engines with 10 ms a token and pauses of 90 ms
    When engine-0 has shown "<shown>" as gaps/token ms/pause ms
    Then engine-0 has a speed of <speed> and a pause of <pause> ms

    Examples:
      | shown                        | speed | pause |
      | nothing                      | 1.0   | 90    |
      | 187/20/190                   | 0.51  | 188   |
      | 20/20/80                     | 0.60  | 126   |
      | 187/20/190 20/20/60 20/20/60 | 0.51  | 188   |
      | 187/20/190 187/20/120        | 0.51  | 175   |
      | 187/10/600                   | 1.0   | 135   |

  Scenario: A restart discards what is known of an engine
    Guards against values of the engine before, which siblings still send.
    Given 5 engines with 10 ms a token and pauses of 90 ms
    When engine-0 has shown "187/20/190" as gaps/token ms/pause ms
    And engine-0 starts anew and a sibling sends "187/20/190" from before
    Then engine-0 has a speed of 1.0 and a pause of 90 ms
    When a sibling sends "187/20/190" of engine-0
    Then engine-0 has a speed of 0.51 and a pause of 188 ms

  Scenario: An old observation fades
    Guards against an engine that is avoided for ever after a slow phase.
    Given 5 engines with 10 ms a token and pauses of 90 ms
    When engine-0 has shown "187/20/190" as gaps/token ms/pause ms
    And 3000 s pass without a stream
    Then engine-0 is expected to pause for less than 130 ms

  Scenario Outline: Siblings are told of what they do not know
    Given 5 engines with 10 ms a token and pauses of 90 ms
    When after <seconds> s engine-0 has shown <shown> to a stream with an objective of <objective> ms
    Then siblings are <told>

    Examples:
      | seconds | shown     | objective | told     |
      | 0       | 187/10/90 | 180       | not told |
      | 0       | 187/10/95 | 180       | not told |
      | 0       | 187/10/95 | 92        | told     |
      | 0       | 187/12/90 | 180       | told     |
      | 0       | 187/10/70 | 180       | told     |
      | 0       | 20/10/40  | 180       | not told |
      | 130     | 187/10/90 | 180       | told     |

  Scenario Outline: An absurd pace of a sibling is refused
    When a sibling encodes <gaps> gaps, <token> s a token and a pause of <pause> s
    Then the pace is <result>

    Examples:
      | gaps | token | pause | result  |
      | 187  | 0.01  | 0.09  | taken   |
      | 0    | 0.01  | 0.09  | refused |
      | 187  | 0     | 0.09  | refused |
      | 187  | nan   | 0.09  | refused |
      | 187  | 0.01  | inf   | refused |
      | 187  | 50    | 0.09  | refused |
      | 187  | 0.01  | -1    | refused |

  Scenario Outline: A part counts as cached until the memory has turned over
    Given an engine with 10000 free tokens that got a prompt "a:2000,b:900"
    When <event>
    Then <tokens> tokens of "<prompt>" are cached

    Examples:
      | event                              | prompt         | tokens |
      | nothing happens                    | a:2000,b:900   | 2900   |
      | nothing happens                    | a:2000,c:900   | 2000   |
      | nothing happens                    | b:900          | 0      |
      | it gets 9000 other tokens          | a:2000,b:900   | 2900   |
      | it gets 11000 other tokens         | a:2000,b:900   | 0      |
      | it gets 9000 tokens after a, twice | a:2000,b:900   | 2000   |
      | it starts anew                     | a:2000,b:900   | 0      |
