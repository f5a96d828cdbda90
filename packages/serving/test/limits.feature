@serving-limits
Feature: Servers that name a limit on the requests of all hosts
  Hosts tell each other of limits within 20 ms and ask one of them for each request that they send to a
  server with a limit. Requests may take 500 ms, and are given up after 6 s.

  # Guards against hosts that together send a server more requests than the limit that it has named.
  Scenario Outline: A server receives its limit in total, wherever the requests come in
    Given <hosts> hosts and a server that names a limit of <limit> a second
    When <where> gets <asked> requests a second for 24 s, while the scheduling host <schedules>
    Then the server receives at most 1.5 times its limit and 5 requests in any 4 s
    And it receives at least <least> requests

    Examples: one host schedules all requests
      | hosts | limit | where     | asked | schedules  | least |
      | 8     | 1.6   | each host | 5     | is running | 32    |
      | 8     | 1.6   | one host  | 20    | is running | 32    |
      | 8     | 2     | one host  | 1.5   | is running | 34    |
      | 8     | 0     | each host | 5     | is running | 3     |
      | 8     | 20    | each host | 5     | is running | 440   |
      | 195   | 1.6   | each host | 0.2   | is running | 32    |
      | 195   | 1.6   | one host  | 20    | is running | 32    |

    Examples: the scheduling host is away
      | hosts | limit | where     | asked | schedules                      | least |
      | 8     | 1.6   | each host | 5     | is missing                     | 24    |
      | 195   | 1.6   | each host | 0.2   | is missing                     | 8     |
      | 8     | 2     | each host | 5     | is another one after each 4 s  | 24    |
      | 8     | 1.6   | each host | 5     | is away for 1 s in each 4 s    | 24    |

  # Guards against requests that wait although it is known that they cannot be served in time.
  Scenario: Requests beyond the limit are refused at once, and told when to come back
    Given 2 hosts and a server that names a limit of 1 a second
    When one host gets 10 requests a second for 8 s, while the scheduling host is running
    Then each refused request was refused within 600 ms and told to come back within 2000 ms

  # Guards against requests that wait for a server's limit until they are given up.
  Scenario Outline: Requests for a model that only a limited server holds are refused at once
    Given 2 hosts and a server that names a limit of 1 a second<beside>
    And the leader <reports> for its model
    When one host gets 10 requests a second for 8 s, while the scheduling host is running
    Then each refused request was refused within 1100 ms and told to come back within 2000 ms
    And it receives at least 8 requests

    Examples:
      | beside                                 | reports                                           |
      |                                        | reports that it is ready, as all servers have one |
      | , beside one that has no room for more | finds no server                                   |

  Scenario: Requests are sent to a server without a limit where there is one
    Given 8 hosts and a server that names a limit of 1 a second, beside one without
    When each host gets 5 requests a second for 12 s, while the scheduling host is running
    Then each request is served

  Scenario: A limit ends with the first later answer that does not name it
    Given 8 hosts and a server that names a limit of 2 a second
    When each host gets 5 requests a second for 8 s, while the scheduling host is running
    And the server names no limit any more
    And each host gets 5 requests a second for 8 s, while the scheduling host is running
    Then it receives at least 300 requests

  # Guards against a limit that is forgotten, as a full server does not name it where it rejects requests.
  Scenario: A rejection without the limit does not end it
    Given 8 hosts and a server that names a limit of 2 a second
    And the server rejects each second request without naming its limit
    When each host gets 5 requests a second for 16 s, while the scheduling host is running
    Then the server receives at most 1.5 times its limit and 5 requests in any 4 s

  # Guards against a limit that is lost because an earlier answer without it arrives later.
  Scenario Outline: Answers that overtake each other
    Given a host that knows a limit
    When <what>
    Then the server <has> limit

    Examples:
      | what                                                                         | has    |
      | an answer without it arrives, to a request that was sent before it was named | has a  |
      | an answer without it arrives, to a request that was sent after it was named  | has no |
      | another host tells that it ended before it was named                         | has a  |
      | another host tells that it ended after it was named                          | has no |
      | the server starts again under its id                                         | has no |
      | another host tells of the limit of an earlier process                        | has a  |
