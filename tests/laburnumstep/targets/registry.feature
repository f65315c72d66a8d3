Feature: Targets register themselves with entries that can expire
  Guards against new work on a target that has left, and against targets
  that are dropped because the registry was unavailable.

  # The rows of 2 and 3 s guard against new work on a target that has left
  # after the registry is back; live targets renew their entries earlier
  # (review/10).
  Scenario Outline: Entries decide which targets are usable
    Given target "a" is registered
    When the registry sees that <event>
    Then target "a" is <state>

    Examples:
      | event                                            | state   |
      | nothing happens                                  | usable  |
      | its entry says that it leaves                    | leaving |
      | its entry is removed                             | leaving |
      | its entry is removed and comes back              | usable  |
      | its entry is removed and 2.5 s pass              | unknown |
      | the registry fails and its entry is removed      | usable  |
      | the registry fails, its entry is removed and 2.5 s pass | unknown |
      | the registry fails, its entry is removed, 1.5 s pass and it comes back | usable |
      | the registry fails, 7 s pass and its entry is removed | leaving |
      | the registry fails, 2 s pass and its entry is removed | usable |
      | the registry fails, 2 s pass, its entry is removed and 1.1 s pass | unknown |
      | the registry fails, 3 s pass and its entry is removed | leaving |
      | all entries are read anew without it             | leaving |
      | an entry of an older start says that it leaves   | usable  |
      | an entry of a newer start comes after its leaving | usable |

  # Guards against new work on a target that has said that it leaves, because
  # the log came back with what it had said before.
  Scenario Outline: An entry from an old copy does not undo a later one
    Given target "a" is registered
    When the registry sees that <event>
    Then target "a" is <state>

    Examples: it leaves
      | event                                                                               | state   |
      | its renewed entry says that it leaves and its old entry is read anew                | leaving |
      | its renewed entry says that it leaves, its old entry is read anew and 2.5 s pass    | unknown |
      | its renewed entry says that it leaves, its old entry is read anew, it renews that it leaves and 2.5 s pass | leaving |
      | its renewed entry says that it leaves, its old entry is read anew and it starts again | usable |

    Examples: it has left
      | event                                                                               | state   |
      | its renewed entry says that it leaves, its entry is removed, 2.5 s pass and its old entry is read anew | unknown |
      | its renewed entry says that it leaves, its entry is removed, 2.5 s pass, its old entry is read anew and it renews its entry | usable |

    Examples: it stays
      | event                                                                               | state   |
      | its last entry is read anew                                                         | usable  |
      | its old entry is read anew                                                          | usable  |
      | the log came back older and all entries are read anew without it                    | usable  |
      | the log came back older, all entries are read anew without it and 2.5 s pass        | unknown |
      | the log came back older, all entries are read anew without it, it renews its entry and 2.5 s pass | usable |

  Scenario: The listener is notified once of a leaving target
    Given target "a" is registered
    When the registry sees that its entry says that it leaves
    Then the listener was notified that "a" is leaving
