Feature: Requests run only where the configuration and operators allow it
  Guards against requests that leave the regions to which their route or their
  workspace is restricted.

  # The VM is in lima-1; the region lima has lima-1 and lima-2, and the region
  # piura has piura-1.
  Scenario Outline: Requests are sent only in the regions of route and workspace
    Given targets <targets>
    And the route allows "<route>" and the workspace "<workspace>"
    When the VM starts
    And 8 <kind> are sent
    Then all have status <status>
    And requests reached only "<reached>"

    Examples:
      | kind    | targets                                 | route      | workspace  | status | reached  |
      | calls   | i1@lima-1, i2@lima-2, i3@piura-1        |            |            | 200    | i1 i2    |
      | calls   | i1@lima-1, i2@lima-2, i3@piura-1        | piura      |            | 200    | i3       |
      | calls   | i1@lima-1, i2@lima-2, i3@piura-1        |            | piura      | 200    | i3       |
      | calls   | i1@lima-1, i3@piura-1                   | lima piura | piura      | 200    | i3       |
      | calls   | i1@lima-1, i3@piura-1                   | lima       | piura      | 503    |          |
      | calls   | i3@piura-1                              | lima       |            | 503    |          |
      | calls   | i1@lima-1, i3@piura-1                   | nowhere    |            | 503    |          |
      | streams | e1@lima-1, e2@lima-2, e3@piura-1        | piura      |            | 200    | e3       |
      | streams | e1@lima-1, e2@lima-2, e3@piura-1        |            | piura      | 200    | e3       |
      | streams | e1@lima-1, e3@piura-1, e4@piura-1       |            | lima       | 200    | e1       |
      | streams | e1@lima-1, e3@piura-1                   | lima       | piura      | 503    |          |
      | streams | e3@piura-1                              | lima       |            | 503    |          |

  # Guards against a retry that finds its home failed and goes elsewhere.
  Scenario Outline: A retry after a failure stays in the allowed regions
    Given targets <targets>
    And the route allows "<route>" and the workspace ""
    And <failing> does not run its requests
    When the VM starts
    And 4 calls are sent
    Then all have status <status>
    And requests reached only "<reached>"

    Examples:
      | targets                           | route | failing | status | reached |
      | i1@lima-1, i3@piura-1             | lima  | i1      | 503    | i1      |
      | i1@lima-1, i3@piura-1             | piura | i3      | 503    | i3      |

  Scenario: A refused request learns when it may come back
    Given targets i3@piura-1, e3@piura-1
    And the route allows "lima" and the workspace ""
    When the VM starts
    And 1 calls are sent
    Then all have status 503 and a time to come back
    When 1 streams are sent
    Then all have status 503 and a time to come back

  # Guards against a VM that starts during an evacuation and sends requests
  # there before it has heard of it.
  Scenario Outline: A VM that starts sends nothing to an evacuated data centre
    Given targets <targets>
    And the route allows "<route>" and the workspace ""
    And the evacuation of <evacuated> is written
    When the VM starts
    And 8 <kind> are sent
    Then all have status <status>
    And requests reached only "<reached>"

    Examples:
      | kind    | targets                          | route | evacuated      | status | reached |
      | calls   | i1@lima-1, i2@lima-2, i3@piura-1 |       | lima-1         | 200    | i2      |
      | calls   | i1@lima-1, i2@lima-2, i3@piura-1 |       | lima-1, lima-2 | 200    | i3      |
      | calls   | i1@lima-1, i2@lima-2, i3@piura-1 | lima  | lima-1, lima-2 | 503    |         |
      | calls   | i1@lima-1                        |       | lima-1         | 503    |         |
      | streams | e1@lima-1, e2@lima-2, e3@piura-1 |       | lima-1, lima-2 | 200    | e3      |
      | streams | e1@lima-1, e2@lima-2, e3@piura-1 | lima  | lima-1         | 200    | e2      |
      | streams | e1@lima-1, e3@piura-1            | lima  | lima-1         | 503    |         |

  # Guards against a VM that knows only the nearest engines of a large
  # deployment, where these may not be used.
  Scenario Outline: A VM of a large deployment finds the engines that it may use
    Given targets <target>
    And 70 more engines are registered in lima-1
    And the route allows "<route>" and the workspace ""
    And the evacuation of <evacuated> is written
    When the VM starts
    And 2 streams are sent
    Then all have status 200

    Examples:
      | target     | route | evacuated |
      | e9@piura-1 | piura | lima-2    |
      | e9@lima-2  |       | lima-1    |

  # Guards against an evacuation that a record in trouble hides.
  Scenario Outline: An evacuation begins with its record, whatever its value is
    Given targets i1@lima-1, i2@lima-2, e1@lima-1, e2@lima-2
    And the route allows "" and the workspace ""
    When the VM starts
    And the record "evacuate/lima-1" is written with <value>
    Then 1 evacuations are in force
    When 8 calls are sent
    And 8 streams are sent
    Then requests reached only "i2 e2"

    Examples:
      | value                     |
      | {}                        |
      | []                        |
      | {                         |
      | \xff\xfe                  |
      | nested                    |
      | a number of 100000 digits |

  # Guards against a record without a data centre that stops its reader.
  Scenario: A record that names no data centre is ignored
    Given targets i1@lima-1, i2@lima-2
    And the route allows "" and the workspace ""
    When the VM starts
    And the record "evacuate/" is written with {}
    And the evacuation of lima-1 is written
    Then 1 evacuations are in force

  Scenario: A data centre is used again after its evacuation
    Given targets i1@lima-1, i3@piura-1
    And the route allows "" and the workspace ""
    And the evacuation of lima-1 is written
    When the VM starts
    Then 1 evacuations are in force
    When the evacuation of lima-1 is taken back
    Then 0 evacuations are in force
    When 8 calls are sent
    Then requests reached only "i1"

  # Guards against an evacuation that ends with an outage of the store.
  Scenario: An evacuation outlasts the store
    Given targets i1@lima-1, i3@piura-1
    And the route allows "" and the workspace ""
    When the VM starts
    And the evacuation of lima-1 is written
    Then 1 evacuations are in force
    When the store is away and the VM has noticed it
    Then 1 evacuations are in force
    When 8 calls are sent
    Then all have status 200
    And requests reached only "i3"

  Scenario Outline: The newest snapshot of an older store tells what is evacuated
    Given targets i1@lima-1, i3@piura-1
    And the route allows "" and the workspace ""
    When the VM starts
    And the evacuation of lima-1 is written
    And the evacuation of lima-2 is written
    Then 2 evacuations are in force
    When the store comes back with its first <kept> records
    Then <count> evacuations are in force

    Examples:
      | kept | count |
      | 1    | 0     |
      | 2    | 1     |

  # Guards against streams that stay where nothing more may be sent, although
  # they can move.
  Scenario: A stream in an evacuated data centre moves to another one
    Given targets e1@lima-1, e2@lima-2
    And the route allows "" and the workspace ""
    And the engines stop after one event of a new run
    When the VM starts
    And a long stream begins
    And the data centre of its engine is evacuated
    Then the stream goes on at the other engine and ends

  # Guards against streams that are cut because they cannot move.
  Scenario: A stream that cannot move goes on until it ends
    Given targets e1@lima-1
    And the route allows "" and the workspace ""
    And the engines stop after one event of a new run
    When the VM starts
    And a long stream begins
    And the data centre of its engine is evacuated
    Then 1 evacuations are in force
    When the engine goes on
    Then the stream ends
