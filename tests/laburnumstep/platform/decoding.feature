Feature: What the platform writes is decoded once
  Guards against a record of another writer that stops the reader, a server
  that is used though its entry cannot be read, and settings that are used
  with mistakes.

  Scenario Outline: Entries of servers
    When an entry changes "<field>" to <value>
    Then the registry has <targets>

    Examples:
      | field   | value                    | targets               |
      | state   | "ready"                  | service target i-1    |
      | state   | "draining"               | leaving target i-1    |
      | state   | "sleeping"               | no target             |
      | state   | 7                        | no target             |
      | service | ""                       | no target             |
      | service | null                     | no target             |
      | service | ["app"]                  | no target             |
      | address | 5                        | no target             |
      | zone    | {}                       | no target             |
      | born    | "soon"                   | no target             |
      | models  | [{"name": "m"}]          | service target i-1    |
      | models  | ["m"]                    | no target             |
      | extra   | {"any": 1}               | service target i-1    |

  Scenario Outline: Entries that are not what they should be
    When the bytes "<bytes>" are written as an entry
    Then the registry has no target

    Examples:
      | bytes    |
      | {        |
      | []       |
      | null     |
      | \xff\xfe |

  Scenario: A service with engines makes engine targets
    Given the configuration says that "app" has engines of 30000 tokens
    When an entry changes "models" to [{"name": "m"}]
    Then the registry has engine target i-1 of pool "app/m" with 30000 tokens

  Scenario Outline: Kinds of routes
    When a configuration has a route of kind "<kind>"
    Then its requests <repeat>

    Examples:
      | kind      | repeat                    |
      | safe      | may run more than once    |
      | unsafe    | run at most once          |
      | keyed     | run at most once          |
      | something | run at most once          |
      | streaming | run at most once          |

  Scenario Outline: Configurations that cannot be read change nothing
    When the configuration "<document>" is written
    Then the routes in force have version 1

    Examples:
      | document                             |
      | {                                    |
      | []                                   |
      | {"version": 2}                       |
      | {"version": 2, "routes": [{}], "services": []} |
      | {"version": "x", "routes": [], "services": []} |

  Scenario: All mistakes of the settings are found at once
    Given settings with "zone" removed, "bounds.graceS" as text and "listen" as a number
    When the settings are read
    Then the findings are "zone", "bounds graceS", "listen front", "listen ready"

  Scenario: Settings with keys that are not known are read
    Given settings with a key that is not known
    When the settings are read
    Then there are no findings

  Scenario Outline: Streams are split into whole events
    Given a server that streams "<chunks>"
    Then the events are "<events>" and then <end>

    Examples:
      | chunks                                       | events              | end        |
      | id: 1\ndata: a\n\n;id: 2\ndata: b\n\n        | 1;2                 | the end    |
      | id: 1\nda;ta: a\n\nid: 2\ndata: b\n\n        | 1;2                 | the end    |
      | id: 1\ndata: a\n\n;id: 2\nda                 | 1                   | a break    |
      | data: a\n\n                                  | -                   | the end    |
      | weight-versions: 2\nid: 3\ndata: a\n\n       | 3                   | the end    |

  Scenario Outline: An engine's report says when it leaves
    Given an engine whose report has <fields> besides its load
    When the report is read
    Then the engine leaves <leaves>

    Examples:
      | fields                                 | leaves         |
      | {}                                     | at no time     |
      | {"state": "ready"}                     | at no time     |
      | {"leaves_ms": null}                    | at no time     |
      | {"leaves_ms": 1500}                    | in 1.5 seconds |
      | {"state": "draining"}                  | in 0 seconds   |
      | {"state": "draining", "leaves_ms": 900} | in 0.9 seconds |

  Scenario Outline: A report that cannot be read
    Given an engine whose report has <fields> besides its load
    When the report is read
    Then the report is malformed

    Examples:
      | fields                |
      | {"leaves_ms": "soon"} |
      | {"running": "many"}   |
      | {"kvUsed": null}      |
