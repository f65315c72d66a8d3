Feature: A request runs only in its allowed regions
  Guards against sends, copies and backups outside the regions to which a
  request is restricted, and against homes of which few engines are used.

  Scenario Outline: A region has to be allowed by route and workspace
    When a route allows "<route>" and a workspace "<workspace>"
    Then region "<region>" is <verdict>

    Examples:
      | route      | workspace  | region | verdict   |
      | any        | any        | lima   | allowed   |
      | any        | any        |        | allowed   |
      | lima       | any        | lima   | allowed   |
      | lima       | any        | piura  | forbidden |
      | any        | lima       | piura  | forbidden |
      | lima piura | piura cuzco | piura | allowed   |
      | lima piura | piura cuzco | lima  | forbidden |
      | lima       | piura      | lima   | forbidden |
      | lima       | any        |        | forbidden |

  Scenario Outline: A restricted request uses every engine of its regions
    Given 6 engines in lima, 8 in piura and a VM in lima
    When 200 requests that allow "<regions>" are placed
    Then they use <count> engines, all in "<used>"

    Examples:
      | regions    | count | used  |
      | piura      | 8     | piura |
      | lima       | 6     | lima  |

  # Guards against a VM of a large deployment that knows no engine of the region
  # to which requests are restricted.
  Scenario: A VM of a large deployment uses engines of all allowed regions
    Given 90 engines in lima, 90 in piura and a VM in lima
    When requests are restricted to "piura"
    Then the VM uses 64 engines in lima and 64 in piura

  Scenario Outline: Backups and copies of a run stay in the allowed regions
    Given 3 engines in lima, 3 in piura and a VM in lima
    When the run of a request that allows "<regions>" is on an engine in <source>
    Then its backup is in "<copy>"
    And its copy goes to "<copy>"
    And it can be placed on an engine in piura: <piura>

    Examples:
      | regions | source | copy  | piura |
      | any     | lima   | lima  | yes   |
      | lima    | lima   | lima  | no    |
      | piura   | piura  | piura | yes   |
      | piura   | lima   |       | yes   |
      | lima    | piura  |       | no    |

  # Guards against a request whose target is no longer permitted when it has
  # waited for its turn.
  Scenario Outline: The last check before a send
    Given 2 engines in lima, 2 in piura and a VM in lima
    When a request that allows "<regions>" is sent to <target> with a backup in <backup>
    Then the send <result>
    And a copy of its run to <target> is <copy>

    Examples:
      | regions | target | backup | result                | copy    |
      | any     | piura  | lima   | has a backup in lima  | made    |
      | lima    | lima   | lima   | has a backup in lima  | made    |
      | lima    | lima   | piura  | has no backup         | made    |
      | lima    | piura  | lima   | does not happen       | refused |
      | none    | lima   | lima   | does not happen       | refused |

  # Guards against requests that wait behind those for another region.
  Scenario: Requests that wait for a full region hold up no others
    Given 1 engines in lima, 1 in piura and a VM in lima
    And all engines are full
    When 5 requests that allow "piura" wait, and then one that allows "any"
    And the engine in lima has room
    Then the last request is placed in lima and 5 go on waiting
