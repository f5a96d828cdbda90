@era
Feature: Versions of a store that is restored, wherever it begins to count its eras

  # Guards against versions beyond a safe integer, and comparisons that do not hold, for great eras.
  Scenario Outline: The header may carry any whole number
    Given a store that counts its eras from <first>
    When an object is written, and again at its version
    Then its versions are safe integers in the order of the writes
    When the store comes back from its copy
    And the object is written anew
    Then its versions are safe integers in the order of the writes
    And a write at a version from before the restoration is a conflict
    And a watch from before the restoration has expired

    Examples:
      | first                          |
      | 0                              |
      | 1                              |
      | 4095                           |
      | 4096                           |
      | 4097                           |
      | 1764000000000                  |
      | 9007199254740993               |
      | 123456789012345678901234567890 |

  # Guards against answers without a usable era that are applied as if they were of the current one.
  Scenario Outline: A header that is no whole number
    Given a store that counts its eras from 1
    When an object is written, and again at its version
    And the store names the era "<header>"
    Then reading, listing, watching and writing fail without a known effect
    And 4 answers without a usable era are reported
    When the store names its era again
    Then the object can be read

    Examples:
      | header |
      |        |
      | abc    |
      | -1     |
      | 1.5    |
      | 1e3    |

  # Guards against versions that fall when the eras exceed the range that versions distinguish.
  Scenario: An era whose versions would be lower than those before is an error
    Given a store that counts its eras from 8191
    When an object is written, and again at its version
    And the store comes back from its copy
    Then reading, listing, watching and writing fail without a known effect
    And 4 answers without a usable era are reported

  # Guards against versions that two pairs of era and revision share.
  Scenario Outline: Eras and revisions that do not fit into a version
    Then the version of era <era> and revision <revision> is an error

    Examples:
      | era  | revision      |
      | 8192 | 1             |
      | -1   | 1             |
      | 1.5  | 1             |
      | 1    | 1099511627776 |
      | 1    | -1            |
