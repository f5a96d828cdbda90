@concurrency
Feature: Adaptive limit of concurrent loads from the weight store
  The weight store shares its capacity equally among the loads; the capacity is not configured.

  # Guards against loads that all take twice their stated time, so that every estimate is wrong.
  Scenario: Four loads take twice as long as stated
    Given a weight store with room for 2 loads at full speed
    When 4 loads of 8 s begin at once, and 17 s pass
    Then the limit is 2

  # Guards against a limit that is corrected only when the slow loads have ended.
  Scenario: The limit falls while loads are overdue
    Given a weight store with room for 2 loads at full speed
    When 4 loads of 8 s begin at once, and 10.5 s pass
    Then the limit is 3
    And the remaining loads are expected to end within 0.5 to 6 s

  Scenario: Loads that keep to their stated time let the limit grow
    Given a weight store with room for 8 loads at full speed
    When as many loads as allowed run for 17 s
    Then the limit is 6 to 9

  Scenario Outline: The limit settles at the capacity of the weight store
    Given a weight store with room for <capacity> loads at full speed
    When as many loads as allowed run for <seconds> s
    Then the limit is <limit>

    Examples:
      | capacity | seconds | limit  |
      | 1        | 90      | 1 to 2 |
      | 2        | 60      | 2 to 3 |
      | 4        | 120     | 4 to 5 |
      | 8        | 120     | 8 to 10 |

  # Guards against a limit of 1 because one server is slow.
  Scenario: One load is slow while those beside it are not
    Given a weight store with room for 4 loads at full speed
    When 4 loads of 8 s begin at once, 1 of them on a slow server, and 17 s pass
    Then the limit is 4 to 8

  # Guards against one slow server that leaves the weight store unused.
  Scenario: The only load is slow
    Given a weight store with room for 4 loads at full speed
    When 1 loads of 8 s begin at once, 1 of them on a slow server, and 17 s pass
    Then the limit is 4
