@order-duty
Feature: The duty of giving orders goes from host to host
  Two servers; a handover takes 3,300 ms from the former giver's last order to a server.

  Scenario: The next giver waits only at servers that the former one has just ordered
    Given two hosts that may give orders
    When the first has ordered "s1" and gives up 500 ms later
    Then the second orders "s2" within 1500 ms
    And the second orders "s1" at least 3300 ms after the first did
    And it does so within 3800 ms

  Scenario: A former giver that says nothing more is waited out for all servers
    Given two hosts that may give orders
    When the first has ordered "s1" and dies 500 ms later
    Then the second orders "s2" at least 3300 ms after the first could still order
    And it does so within 6000 ms

  Scenario: A giver that has said that its term is over takes it up only under a higher number
    Given two hosts that may give orders
    When neither reaches the store for 2300 ms, and the first says that its term is over
    And the first reaches the store again
    Then it leads under a higher fencing number than the one that was over
