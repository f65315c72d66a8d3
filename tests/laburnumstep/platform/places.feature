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
