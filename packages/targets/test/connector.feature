@connector
Feature: Connections to servers that a host may not reach itself

  # Hosts that were partitioned from all servers refused their callers, while other hosts reached them.
  Scenario Outline: A connection is opened directly or through another host
    Given the direct way to a server <direct>
    And the way through another host <other>
    When a connection to the server is opened
    Then it is open <way> within <most> ms

    Examples:
      | direct               | other    | way                | most |
      | connects             | connects | directly           | 5    |
      | connects after 60 ms | connects | directly           | 70   |
      | hangs                | connects | through the other  | 300  |
      | is refused           | connects | through the other  | 100  |
      | connects             | fails    | directly           | 5    |
      | connects after 400 ms | fails   | directly           | 500  |

  Scenario Outline: A server that nobody reaches
    Given the direct way to a server <direct>
    And the way through another host fails
    When a connection to the server is opened
    Then it fails within <most> ms

    Examples:
      | direct     | most |
      | hangs      | 1100 |
      | is refused | 100  |

  # Each request waited for the timeout of each server anew.
  Scenario: A host that reaches no server opens further connections through another host at once
    Given the direct way to a server hangs
    And the way through another host connects
    When connections to 2 servers are opened
    And a connection to the server is opened
    Then it is open through the other within 20 ms

  Scenario: A host that reaches servers again uses the direct way
    Given the direct way to a server hangs
    And the way through another host connects
    When connections to 2 servers are opened
    And the direct way connects from now on, and connections are opened for 2 s
    And a connection to the server is opened
    Then it is open directly within 5 ms

  # A question to another host that was not needed any more counted as an answer that nobody reaches the server.
  Scenario: A server that was reached directly after a while is tried through other hosts again
    Given the direct way to a server connects after 150 ms
    And the way through another host takes 200 ms
    When a connection to the server is opened
    And the direct way hangs from now on, and the way through another host connects
    And a connection to the server is opened
    Then it is open through the other within 300 ms

  # A server that has crashed costs the other hosts a bounded number of attempts.
  Scenario: A server that nobody reaches is not tried through other hosts each time
    Given the direct way to a server is refused
    And the way through another host fails
    When 20 connections to the server are opened within 500 ms
    Then another host was asked at most 2 times

  Scenario: A server that nobody reaches in time is not tried through other hosts at once again
    Given the direct way to a server hangs
    And the way through another host takes 2000 ms
    When a connection to the server is opened
    And a connection to the server is opened
    Then another host was asked at most 1 times
