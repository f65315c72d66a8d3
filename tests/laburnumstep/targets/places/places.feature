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
    Given <local> engines in lima, <remote> in piura and a VM in lima
    And 30 more engines are in cuzco-1
    When 200 requests that allow "<region>" are placed
    Then they use <count> engines, all in "<region>"

    Examples: more engines elsewhere than are compared for a request
      | local | remote | region | count |
      | 30    | 8      | piura  | 8     |
      | 6     | 30     | lima   | 6     |

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

  # In the following scenarios the engines of lima are in lima-1, and those of
  # piura in piura-1.
  Scenario Outline: Backups and copies go to no evacuated data centre
    Given 3 engines in lima, 3 in piura and a VM in lima
    And 3 more engines are in lima-2
    And <evacuated> are being evacuated
    When the run of a request that allows "any" is on an engine in lima
    Then its backup is in data centre "<copy>"
    And its copy goes to data centre "<copy>"
    And it can be placed on an engine in piura: <piura>

    Examples:
      | evacuated       | copy   | piura |
      | lima-1          | lima-2 | yes   |
      | lima-2, piura-1 | lima-1 | no    |
      | lima-1, lima-2  |        | yes   |

  Scenario Outline: The last check before a send heeds evacuations
    Given 2 engines in lima, 2 in piura and a VM in lima
    And <evacuated> are being evacuated
    When a request that allows "any" is sent to lima with a backup in piura
    Then the send <result>
    And a copy of its run to lima is <copy>

    Examples:
      | evacuated | result                | copy    |
      | lima-2    | has a backup in piura | made    |
      | piura-1   | has no backup         | made    |
      | lima-1    | does not happen       | refused |

  # Guards against a send to where nothing may be sent any more, after a wait
  # for a permit of a limited target.
  Scenario: An evacuation begins while a request waits for its permit
    Given 2 engines in lima, 2 in piura and a VM in lima
    When a request is sent to lima, whose evacuation begins while it waits for a permit
    Then the send does not happen

  # Guards against a waiting request that is placed in an evacuated data centre
  # once there is room, or that waits although no other is left.
  Scenario Outline: An evacuation begins while a request waits for capacity
    Given <engines> and a VM in lima
    And all engines are full
    When 1 requests that allow "<regions>" wait
    And the evacuation of lima-1 begins
    Then <waiting> go on waiting and <refused> are refused
    When the engines in lima-1 have room
    Then <waiting> go on waiting and <refused> are refused

    Examples:
      | engines                   | regions | waiting | refused |
      | 1 engines in lima, 1 in piura | any  | 1       | 0       |
      | 1 engines in lima, 1 in piura | lima | 0       | 1       |
      | 2 engines in lima, 0 in piura | any  | 0       | 1       |

  # Guards against a VM of a large deployment that knows no engine but those of
  # an evacuated data centre.
  Scenario: A VM of a large deployment uses other engines during an evacuation
    Given 90 engines in lima, 90 in piura and a VM in lima
    When the VM chooses its engines while lima-1 is evacuated
    Then the VM uses 64 engines in lima and 64 in piura

  # Guards against moves that are copied again and again for as long as a run
  # goes on in an evacuated data centre.
  Scenario: A run is copied no more once its attempts are used up
    Given a stream whose copies are all refused
    When its engine goes on for 30 events
    Then at most 8 copies were made and the stream is complete
