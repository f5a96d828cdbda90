@serving-cold
Feature: Cold servers
  A service whose servers are cold for 3 s after their start and then accept 29 requests a second. A cold
  server may receive 1.5 times that and 5 requests in any second, from all hosts together. Servers write
  their entries once a second; hosts read them 50 to 300 ms later. Requests may take 500 ms.

  # Guards against hosts that together crash a server that has just started, or is cold again.
  Scenario Outline: All hosts together send a cold server no more than it can bear
    Given <hosts> hosts and <servers> servers of a service with cold starts
    When <where> get <asked> requests a second for 12 s, while the scheduling host <schedules>
    And the first server <cold>
    Then the first server received at most 48 requests in any second in which it was cold
    And it received at least <least> requests while it was cold

    Examples: one host schedules all requests
      | hosts | servers | where     | asked | schedules  | cold                                | least |
      | 8     | 1       | all hosts | 400   | is running | starts after 2 s                    | 60    |
      | 8     | 1       | one host  | 400   | is running | starts after 2 s                    | 60    |
      | 66    | 1       | all hosts | 400   | is running | starts after 2 s                    | 60    |
      | 66    | 3       | all hosts | 400   | is running | starts after 2 s                    | 30    |
      | 8     | 3       | all hosts | 60    | is running | starts after 2 s                    | 5     |
      | 8     | 2       | all hosts | 200   | is running | is cold again after 5 s             | 20    |
      | 66    | 2       | all hosts | 400   | is running | is cold again after 5 s             | 20    |
      | 8     | 1       | all hosts | 400   | is running | starts after 2 s and tells nothing  | 60    |
      | 8     | 1       | all hosts | 400   | is running | starts again after 2 s              | 60    |
      | 66    | 2       | all hosts | 400   | is running | starts again after 2 s              | 30    |

    Examples: the scheduling host is away
      | hosts | servers | where     | asked | schedules                     | cold                    | least |
      | 8     | 1       | all hosts | 400   | is missing                    | starts after 2 s        | 30    |
      | 66    | 1       | all hosts | 400   | is missing                    | starts after 2 s        | 30    |
      | 66    | 1       | one host  | 400   | is missing                    | starts after 2 s        | 1     |
      | 66    | 2       | all hosts | 400   | does not answer               | starts after 2 s        | 3     |
      | 66    | 1       | all hosts | 400   | is another one after each 1 s | starts after 2 s        | 60    |
      | 66    | 1       | all hosts | 400   | does not answer from 3 s on   | starts after 2 s        | 30    |
      | 66    | 1       | all hosts | 400   | does not answer for 3.2 s     | starts after 2 s        | 30    |

  # Guards against a fleet that refuses everything while all servers start.
  Scenario: Requests spread over the servers of a service that are all cold
    Given 8 hosts and 10 servers of a service with cold starts
    When all hosts get 150 requests a second for 6 s, while the scheduling host is running
    And all servers start after 0 s
    Then at least 95 of 100 requests are served

  # Guards against servers that remain limited because their time is over unnoticed.
  Scenario: A server that is not cold any more takes all requests
    Given 8 hosts and 1 servers of a service with cold starts
    When all hosts get 120 requests a second for 12 s, while the scheduling host is running
    And the first server starts after 2 s
    Then all requests that came after 8 s are served

  Scenario: Servers of a service without cold starts are not limited
    Given 8 hosts and 1 servers of a service without cold starts
    When all hosts get 120 requests a second for 6 s, while the scheduling host is running
    And the first server starts after 2 s
    Then all requests that came after 2.5 s are served

  Scenario Outline: What a host takes for cold
    Given a host that has read a list with the server "old"<listed>
    When this happens to its view of cold servers: <what>
    Then the server "<server>" is <state>

    Examples:
      | listed            | what                                                      | server | state    |
      |                   | 0 ms                                                      | old    | not cold |
      | cold for 1000     | 0 ms                                                      | old    | cold     |
      | cold for 0        | 0 ms                                                      | old    | not cold |
      | cold for NaN      | 0 ms                                                      | old    | not cold |
      |                   | new is listed                                             | new    | cold     |
      |                   | new is listed, 2900 ms                                    | new    | cold     |
      |                   | new is listed cold for 0                                  | new    | not cold |
      |                   | new is listed cold for NaN                                | new    | cold     |
      |                   | new is listed cold for 99999                              | new    | cold     |
      |                   | new is listed, 3100 ms                                    | new    | cold     |
      |                   | new is listed, 3100 ms, new answers                       | new    | not cold |
      |                   | new is listed, 2900 ms, new answers                       | new    | cold     |
      |                   | new is listed, 3100 ms, new is listed                     | new    | not cold |
      |                   | new is listed, 3100 ms, new is listed cold for 700        | new    | cold     |
      |                   | new is listed, 1000 ms, new answers cold for 0            | new    | not cold |
      |                   | new is listed, 1000 ms, new answers cold for 900, 1000 ms, new answers | new | not cold |
      | cold for 1000     | 1100 ms, old answers                                      | old    | not cold |
      |                   | old answers cold for 700                                  | old    | cold     |
      |                   | old answers cold for -5                                   | old    | not cold |
      |                   | old answers cold for NaN                                  | old    | not cold |
      |                   | old answers cold for 31000                                | old    | not cold |
      | cold for 1000     | old answers cold for NaN, old is listed cold for NaN      | old    | cold     |
      |                   | another host tells that old is cold for 700               | old    | cold     |
      |                   | another host tells that former is cold for 700            | old    | not cold |
      |                   | old leaves the list, 5000 ms, old is listed               | old    | not cold |
      |                   | old starts anew                                           | old    | cold     |
