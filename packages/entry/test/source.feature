@source
Feature: Hosts replicate the objects of a kind
  Four hosts follow the servers' entries. Two of them watch the store and broadcast the changes.

  Scenario: Two hosts watch the store and all hosts receive the changes
    Given four hosts that follow one kind
    When 5 s pass without a change
    Then 2 hosts watch the store
    And a change reaches all hosts within 100 ms

  Scenario Outline: The store does not answer some of the hosts
    Given four hosts that follow one kind
    When 5 s pass without a change
    And the store <fault> hosts "<hosts>"
    Then a change reaches all hosts within <most> ms
    When the store answers all hosts again
    And 5 s pass without a change
    Then a change reaches all hosts within 100 ms

    Examples:
      | fault         | hosts     | most |
      | refuses       | 1         | 300  |
      | refuses       | 1 2       | 1500 |
      | refuses       | 3 4       | 300  |
      | is silent for | 1         | 300  |
      | is silent for | 1 2       | 4000 |

  # Guards against a withdrawn key that stays in force as the hosts that read the configuration lost the store.
  Scenario Outline: A change reaches the others in time, whenever its watchers lose the store
    Given four hosts that follow one kind, whose changes must arrive within <most> ms
    When 5 s pass without a change
    Then a change reaches hosts "3 4" within <most> ms, whenever hosts "1 2" lose the store before it
    And no host took a change for younger than it was

    Examples:
      | most |
      | 2000 |
      | 3000 |
      | 9000 |

  Scenario: Watchers of a kind whose changes must arrive soon stay the same while the store is slow
    Given four hosts that follow one kind, whose changes must arrive within 2000 ms
    When 5 s pass without a change
    And the store answers 200 ms later
    And 5 s pass without a change
    Then 2 hosts watch the store
    And a change reaches all hosts within 1000 ms
    And 2 hosts watch the store

  Scenario: A host without links watches the store itself
    Given four hosts that follow one kind
    When 5 s pass without a change
    And host 4 loses all links
    And 2 s pass without a change
    Then a change reaches all hosts within 100 ms

  Scenario: A host that missed changes pulls all objects from another host
    Given four hosts that follow one kind
    When 5 s pass without a change
    And host 4 misses a change
    And 1 s pass without a change
    Then all hosts have the same view

  Scenario Outline: The store comes back from a copy and gives its versions out again
    Given four hosts that follow one kind
    When 5 s pass without a change
    And the store is copied
    And <before> changes are made
    And <lasts> s pass without a change
    And the store comes back from the copy
    And <after> changes are made
    And 3 s pass without a change
    Then the view of all hosts is that of the store
    And a change reaches all hosts within 100 ms

    Examples:
      | before | lasts | after |
      | 0      | 1     | 0     |
      | 3      | 1     | 0     |
      | 3      | 1     | 3     |
      | 3      | 1     | 8     |
      | 3      | 0     | 3     |
      | 3      | 0     | 8     |

  Scenario: The configuration in force never goes back, also on a host that starts later
    Given four hosts that follow one kind
    When 5 s pass without a change
    And the operators write configuration 5
    And the store is copied
    And the operators write configuration 7
    Then all hosts have configuration 7
    When the store comes back from the copy
    And 3 s pass without a change
    Then all hosts have configuration 7
    When host 3 is restarted
    And 3 s pass without a change
    Then all hosts have configuration 7
    When the operators write configuration 6
    Then all hosts have configuration 7
    When host 1 is restarted
    And 3 s pass without a change
    Then all hosts have configuration 7
    When the operators write configuration 8
    Then all hosts have configuration 8
    And no host has gone back to an earlier configuration
