Feature: At most one process holds a lease at a time
  Three processes contend for a lease whose term is 8 s.

  Scenario Outline: A fault of the holder
    Given three processes that contend for a lease
    When the holder <fault> for <lasts> s
    Then no two processes held the lease at the same time
    And each new holder had a higher fencing number
    And within 30 s after the fault a process holds it

    Examples:
      | fault                          | lasts |
      | continues without a fault      | 10    |
      | crashes                        | 10    |
      | is paused                      | 3     |
      | is paused                      | 60    |
      | is cut off from the store      | 60    |
      | loses the answers of the store | 60    |
      | shuts down                     | 10    |
      | has its clock set forward      | 10    |
      | has its clock set back         | 10    |
      | is restarted in place          | 10    |

  Scenario: The store is unreachable for all processes
    Given three processes that contend for a lease
    When the store is unreachable for 60 s
    Then no two processes held the lease at the same time
    And within 30 s after the fault a process holds it

  # Guards against a holder that renews a term which it has told others is over, as it took its own write for another's.
  Scenario Outline: A renewal is carried out without an answer before the store is away
    Given three processes that contend for a lease and tell the ends of their terms
    When a renewal of the holder gets no answer, and the store is unreachable for <milliseconds> ms then
    Then no process held the lease after it had told the end of its term
    And no two processes held the lease at the same time
    And each new holder had a higher fencing number
    And within 30 s after the fault a process holds it

    Examples:
      | milliseconds |
      | 0            |
      | 1900         |
      | 2500         |
      | 4500         |
      | 7000         |
      | 9000         |

  # Guards against a lease that nobody gets, since its record holds what another writer has left.
  Scenario Outline: Another writer replaces the record
    Given three processes that contend for a lease
    When another writer replaces the record by <value>
    Then no two processes held the lease at the same time
    And each new holder had a higher fencing number
    And within 30 s after the fault a process holds it

    Examples:
      | value                          |
      | null                           |
      | 7                              |
      | {}                             |
      | {"fencing":"1","token":"t"}    |
      | {"fencing":-1,"token":"t"}     |
      | {"fencing":1,"token":"t","holder":{"host":"D"}} |

  Scenario: Random interleavings of pauses, lost connections, crashes and clock changes
    Then 200 generated interleavings never have two holders

  Scenario Outline: The store comes back from an older copy
    Given three processes that contend for a lease
    When the lease changes hosts <changes> times
    And the store comes back from a copy that is <age> s old
    Then no two processes held the lease at the same time
    And each new holder had a higher fencing number
    And within 30 s after the fault a process holds it

    Examples:
      | changes | age |
      | 0       | 0   |
      | 0       | 2   |
      | 0       | 60  |
      | 1       | 3   |
      | 1       | 20  |
      | 2       | 20  |
      | 2       | 40  |

  Scenario: Random interleavings with restorations of the store
    Then 200 generated interleavings with restorations of the store never have two holders

  # Guards against fencing numbers beyond a safe integer, and leases that nobody gets.
  Scenario: Random interleavings with restorations of a store that does not count its eras from 1
    Then 200 generated interleavings with restorations of the store from era 1764000000000 never have two holders

  # Guards against fencing numbers that fall when the eras exceed the range that versions distinguish.
  Scenario: Random interleavings with restarts while the eras pass the end of their range
    Then 200 generated interleavings with restorations of the store and restarts from era 8189 never have two holders
