Feature: A run is copied ahead where the copy saves more work than it displaces
  Guards against runs that die with their engine although others have room, and
  against copies that cost new runs their place.

  # The run has 2,800 prompt tokens and 500 tokens to make, 20 ms each.
  Scenario Outline: Gain and cost of a copy are weighed
    Given a <kind> run of priority <priority> whose engine is lost each <each> s
    And engines whose memory is used to <use> with the copy
    When a copy of the run is weighed
    Then the run is <result>

    Examples: how often engines are lost
      | kind   | priority | each | use      | result |
      | single | 0        | 100  | 0.4, 0.4 | copied |
      | single | 0        | 100  | 0.5, 0.5 | single |
      | single | 0        | 1000 | 0.2, 0.2 | single |
      | single | 0        | 1000 | 0.0, 0.0 | copied |
      | single | 0        | 20   | 0.7, 0.7 | copied |
      | single | 0        | 20   | 0.8, 0.8 | single |

    # A full fleet makes a copy dear even on its one empty engine.
    Examples: room of all engines
      | kind   | priority | each | use           | result |
      | single | 0        | 100  | 0.3, 0.1, 0.1 | copied |
      | single | 0        | 100  | 0.3, 0.9, 0.9 | single |
      | single | 0        | 1    | 0.95, 0.96    | copied |
      | single | 0        | 1    | 0.98, 0.99    | single |
      | single | 0        | 5    | none          | single |

    Examples: value of the run
      | kind      | priority | each | use      | result |
      | single    | -3       | 100  | 0.4, 0.4 | single |
      | single    | 3        | 100  | 0.4, 0.4 | copied |
      | resumable | 0        | 100  | 0.3, 0.3 | single |
      | resumable | 0        | 100  | 0.1, 0.1 | copied |

  # Guards against an empty engine that gets the copies of all VMs.
  Scenario: Copies are spread over the engines on which they pay
    Given a single run of priority 0 whose engine is lost each 100 s
    And engines whose memory is used to 0.1, 0.2, 0.9 with the copy
    When a copy of the run is weighed 300 times
    Then 2 engines got at least 50 copies each

  Scenario Outline: The rate of losses follows what a VM sees
    Given a VM that watches 20 engines for 60 s
    And in this time <events>
    Then an engine that <state> is lost each <least> to <most> s

    Examples:
      | events                   | state         | least | most |
      | nothing happens          | ran           | 1000  | 1900 |
      | 12 of them leave         | ran           | 85    | 150  |
      | 12 of them are removed   | ran           | 85    | 150  |
      | one is ejected 3 times   | was ejected   | 45    | 90   |
      | one is ejected 3 times   | ran           | 1000  | 1900 |

  Scenario: A loss that is reported twice counts once
    Given a VM that watches 20 engines for 60 s
    And in this time 12 of them leave and are then removed
    Then an engine that ran is lost each 85 to 150 s
