@node-crash
Feature: A request that crashes each server that runs it

  Scenario: It is refused after the second crash, and concurrent requests are served
    Given 3 nodes and 3 engines that a request with "poison" crashes
    When each node runs 3 harmless requests and node 1 gets the "poison" among them
    Then every harmless request is served
    And the poison is refused as "crashes_servers" and may have run
    And the engines crashed 2 times

  Scenario: It is refused when its caller retries it through other hosts
    Given 3 nodes and 3 engines that a request with "poison" crashes
    When node 1 gets the "poison"
    And node 2 gets the "poison" again, and node 3, and node 1
    Then each of them is refused as "crashes_servers" and did not run
    And the engines crashed 2 times

  # Guards against a request that crashes engine after engine, because they end its streams in order.
  Scenario: It is refused although the engines end its streams before they crash
    Given 3 nodes and 3 engines that answer "crash-after-end" to a request with "poison"
    When node 1 gets the "poison" as a stream
    And node 2 gets the "poison" as a stream, and node 3, and node 1
    Then the engines crashed 2 times
    And the last of them is refused as "crashes_servers" and did not run

  Scenario: A restarted host receives the suspects of the other hosts
    Given 3 nodes and 3 engines that a request with "poison" crashes
    When node 1 gets the "poison"
    And node 3 is killed and started again, and gets the "poison"
    Then each of them is refused as "crashes_servers" and did not run
    And the engines crashed 2 times

  Scenario: Concurrent copies of it at every host crash at most two servers
    Given 3 nodes and 3 engines that a request with "poison" crashes
    When each node runs 3 harmless requests and every node gets the "poison" twice among them
    Then every harmless request is served
    And the engines crashed at most 2 times

  Scenario: A request that ran beside it runs alone once, and then normally
    Given 3 nodes and 3 engines that a request with "poison" crashes
    When each node runs 3 harmless requests and node 1 gets the "poison" among them
    And each node runs the same harmless requests again, with another poison at node 2
    Then every harmless request is served
    And the engines crashed 4 times

  Scenario Outline: A broken connection does not count as a crash
    Given 3 nodes and 3 engines that answer "<fault>" to a request with "unlucky" twice
    When node 1 gets the "unlucky"
    And node 2 gets the "unlucky" again
    Then that one is served

    Examples:
      | fault      |
      | cut-before |
      | cut-amid   |

  Scenario: A suspected request is refused while the store is unavailable
    Given 3 nodes and 3 engines that a request with "poison" crashes
    When the store is unavailable and node 1 gets the "poison"
    Then it is refused as "store_unavailable" and may have run
    And the engines crashed 1 times
