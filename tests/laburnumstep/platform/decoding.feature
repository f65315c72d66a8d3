Feature: Decoding of the platform's records, settings and streams
  Guards against a malformed record that stops its reader, a server that is
  used although its entry is malformed, and invalid settings that are used.

  Scenario Outline: Valid entries of servers become targets
    When an entry is written with "<field>" as <value>
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
      | sequence | "many"                  | service target i-1    |
      | sequence | 1e999                   | service target i-1    |

  # Guards against entries of other writers that end the process which reads
  # them, or whose address ends it when a connection is opened.
  Scenario Outline: Entries with values out of range are ignored
    When an entry is written with "<field>" as <value>
    Then the registry has no target

    Examples:
      | field   | value                    |
      | born    | 1e999                    |
      | born    | -1e999                   |
      | born    | NaN                      |
      | address | "127.0.0.1:99999"        |
      | address | "127.0.0.1:65536"        |
      | address | "127.0.0.1:0"            |
      | address | "127.0.0.1:-1"           |
      | address | "127.0.0.1"              |
      | address | "127.0.0.1:80:80"        |
      | address | "127.0.0.256:80"         |
      | address | "localhost:80"           |
      | address | ":80"                    |

  Scenario Outline: Entries that are not JSON objects are ignored
    When the bytes "<bytes>" are written as an entry
    Then the registry has no target

    Examples:
      | bytes    |
      | {        |
      | []       |
      | null     |
      | \xff\xfe |
      | nested   |
      | nested in a field |
      | a number of 100000 digits |

  # Guards against one odd entry that ends all VMs, or hides the entries behind
  # it.
  Scenario Outline: An odd entry stops neither the VM nor the entries behind it
    Given a VM on the platform with one server
    When the odd entry "<bytes>" is written beside the servers
    And the server registers as draining
    Then the VM is ready

    Examples:
      | bytes                      |
      | nested                     |
      | nested in a field          |
      | a number of 100000 digits  |
      | a start at infinity        |
      | an engine at port 99999    |

  # Guards against one unreadable key that hides all entries behind it.
  Scenario Outline: A record whose key is no text does not stop the VM
    Given a VM on the platform with one server
    When a record with the key bytes "<key>" is <written> beside the servers
    And the server registers as draining
    Then the VM is ready

    Examples:
      | key       | written                    |
      | \xff\xfe | written                    |
      | \xff\xfe | read with the newest ones  |
      |           | written                    |

  Scenario: Servers of a service with engines become engine targets
    Given the configuration declares engines of 30000 tokens for "app"
    When an entry is written with "models" as [{"name": "m"}]
    Then the registry has engine target i-1 of pool "app/m" with 30000 tokens

  Scenario Outline: The kind of a route decides whether requests may be retried
    When a configuration has a route of kind "<kind>"
    Then its requests <repeat>

    Examples:
      | kind      | repeat                    |
      | safe      | may run more than once    |
      | unsafe    | run at most once          |
      | keyed     | run at most once          |
      | something | run at most once          |
      | streaming | run at most once          |

  # Guards against an answer of a server in trouble that ends the process.
  Scenario Outline: Objectives of a route are decoded
    When a configuration has a route with "<member>" of <value>
    Then its objectives in seconds are <first> and <gap>

    Examples:
      | member          | value | first | gap    |
      | targetLatencyMs | 1800  | 1.8   | None   |
      | targetGapMs     | 180   | None  | 0.18   |
      | targetGapMs     | 0     | None  | None   |
      | targetGapMs     | -5    | None  | None   |
      | targetGapMs     | null  | None  | None   |
      | targetGapMs     | 1e300 | None  | 3600.0 |

  Scenario Outline: Parts of a prompt are decoded up to the first odd one
    Guards against numbers that make the decoder fail or take long.
    When a caller sends the prompt prefix "<prefix>"
    Then parts of <tokens> tokens are known

    Examples:
      | prefix                     | tokens    |
      | a:900,b:1800               | 900, 1800 |
      | a:900, b:c:1800            | 900, 1800 |
      | a:900,b,c:1800             | 900       |
      | a:900,b:-1,c:1800          | 900       |
      | a:900,b:99999999999999,c:1 | 900       |
      | :900                       | none      |
      | a:0                        | none      |
      | a:²                        | none      |

  Scenario Outline: A report with odd values is malformed
    Given an engine whose load report also has <fields>
    When the report is read
    Then the report is malformed

    Examples:
      | fields               |
      | {"running": 1e999}   |
      | {"kvTotal": -1e999}  |
      | {"leaves_ms": NaN}   |
      | {"leaves_ms": []}    |
      | {"kvTotal": 320 digits}  |
      | {"kvUsed": 320 digits}   |
      | {"queued": 320 digits}   |
      | {"running": 320 digits}  |
      | {"running": -1}          |
      | {"kvTotal": 2147483648}  |

  Scenario Outline: A malformed configuration leaves the active one in force
    When the configuration "<document>" is written
    Then the routes in force have version 1

    Examples:
      | document                             |
      | {                                    |
      | []                                   |
      | {"version": 2}                       |
      | {"version": 2, "routes": [{}], "services": []} |
      | {"version": "x", "routes": [], "services": []} |
      | {"version": 1e999, "routes": [], "services": []} |
      | nested                               |

    Examples: regions that cannot be read, which must not count as every region
      | document                             |
      | {"version": 2, "routes": [], "services": [], "tenants": [{"name": "a", "apiKeys": ["k"], "allowedRegions": "lima"}]} |
      | {"version": 2, "routes": [], "services": [], "tenants": [{"name": "a", "apiKeys": ["k"], "allowedRegions": [1]}]} |
      | {"version": 2, "routes": [], "services": [], "tenants": [{"name": "a", "apiKeys": ["k"], "allowedRegions": {"a": 1}}]} |

  Scenario: All errors in the settings are reported together
    Given settings with "zone" removed, "bounds.graceS" as text and "listen" as a number
    When the settings are read
    Then the findings are "zone", "bounds graceS", "listen front", "listen ready"

  Scenario: Unknown keys in the settings are ignored
    Given settings with an unknown key
    When the settings are read
    Then there are no findings
    And siblings are reached at "127.0.0.1:7200", "10.1.0.19:7200", "10.2.0.13:7200"

  Scenario Outline: Streams are split into complete events
    Given a server that streams "<chunks>"
    Then the event IDs are "<events>", followed by <end>

    Examples:
      | chunks                                       | events              | end        |
      | id: 1\ndata: a\n\n;id: 2\ndata: b\n\n        | 1;2                 | the end    |
      | id: 1\nda;ta: a\n\nid: 2\ndata: b\n\n        | 1;2                 | the end    |
      | id: 1\ndata: a\n\n;id: 2\nda                 | 1                   | a break    |
      | data: a\n\n                                  | -                   | the end    |
      | weight-versions: 2\nid: 3\ndata: a\n\n       | 3                   | the end    |

  Scenario Outline: An engine's load report states when it is reclaimed
    Given an engine whose load report also has <fields>
    When the report is read
    Then the engine is reclaimed <leaves>

    Examples:
      | fields                                 | leaves         |
      | {}                                     | at no time     |
      | {"state": "ready"}                     | at no time     |
      | {"leaves_ms": null}                    | at no time     |
      | {"leaves_ms": 1500}                    | in 1.5 seconds |
      | {"state": "draining"}                  | in 0 seconds   |
      | {"state": "draining", "leaves_ms": 900} | in 0.9 seconds |

  Scenario Outline: A malformed load report is an error
    Given an engine whose load report also has <fields>
    When the report is read
    Then the report is malformed

    Examples:
      | fields                |
      | {"leaves_ms": "soon"} |
      | {"running": "many"}   |
      | {"kvUsed": null}      |
