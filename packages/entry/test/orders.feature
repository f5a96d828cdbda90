@order-leadership
Feature: The lease for orders changes hosts
  Two servers; a handover takes 3,300 ms from the former leader's last order to a server.

  Scenario: The next leader waits only for servers with a recent order of the former leader
    Given two hosts that contend for the lease for orders
    When the first has ordered "s1" and loses the store 500 ms later
    Then the second orders "s2" within 1500 ms
    And the second orders "s1" at least 3300 ms after the first did
    And it does so within 3800 ms

  # A leader that was partitioned from all servers kept the lease: nothing was loaded for any host.
  Scenario: A leader that reaches no server leaves the lease to another host
    Given two hosts that contend for the lease for orders
    When the first has ordered "s1" and loses the servers 500 ms later
    Then the second orders "s2" within 1500 ms
    And the second orders "s1" at least 3300 ms after the first did

  Scenario: After a crash of the leader, the next one waits for the end of its term at all servers
    Given two hosts that contend for the lease for orders
    When the first has ordered "s1" and crashes 500 ms later
    Then the second orders "s2" at least 3300 ms after the first could still order
    And it does so within 6000 ms

  Scenario: A leader that has reported the end of its term resumes only under a higher fencing number
    Given two hosts that contend for the lease for orders
    When neither reaches the store for 2300 ms, and the first reports that its term is over
    And the first reaches the store again
    Then it holds the lease under a higher fencing number than that of the ended term

  # The third leader knew no order of the second one, and ordered at once after the first one's order.
  Scenario Outline: A leader whose term ends within its handover passes on the orders before it
    Given three hosts that contend for the lease for orders
    When the first has ordered "s1" and stops, and the second <ends> once it is the leader
    Then the third orders "s1" at least 3300 ms after the first did

    Examples:
      | ends            |
      | stops           |
      | loses the store |

  # Guards against a leader that starts too many loads at once until it has measured them itself.
  Scenario: The limit of concurrent cold loads is passed on
    Given two hosts that contend for the lease for orders
    When the second receives that a leader has learnt a limit of 3 cold loads
    Then the second passes on a limit of 3 cold loads

  # Guards against hubs that drop what a new leader needs to know of the loads under way.
  Scenario: The loads from the weight store that are under way are passed on
    Given two hosts that contend for the lease for orders
    When the second receives that a leader has a cold load of "m1" under way for 2000 ms
    Then it passes on that the cold load of "m1" is under way
