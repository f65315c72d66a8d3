Feature: Dictionaries with a limit drop their oldest entry
  Guards against dictionaries that grow with every name a peer sends, and
  against the loss of an entry that was stored again a short time ago.

  Scenario: The entry that was stored longest ago is dropped
    Given a dictionary with a limit of 2 entries
    When the keys "a b a c" are stored one after another
    Then the dictionary holds the keys "a c" in this order
