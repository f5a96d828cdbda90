@serving-balance
Feature: Selection of servers where hosts share capacity

  # Guards against requests that go to a server again which has just rejected one, since it looks empty.
  Scenario Outline: A server has rejected a request
    Given 4 servers with 8 slots, and capacity is shared
    When server "s0" has rejected a request and told <load>
    Then of 400 choices at most <most> are "s0"

    Examples:
      | load                      | most |
      | nothing                  | 60   |
      | 8 running and 24 waiting | 10   |
      | 0 running and 0 waiting  | 200  |

  # Guards against servers that must not be chosen.
  Scenario Outline: Servers that accept nothing
    Given 4 servers with 8 slots, and capacity is shared
    When server "s0" becomes <state>
    Then of 400 choices at most 0 are "s0"

    Examples:
      | state     |
      | evacuated |
      | leaving   |
      | closed    |
      | excluded  |
      | avoided   |

  # Guards against requests that end others by taking the memory of their server.
  Scenario: A server whose memory is in use
    Given 4 servers with 8 slots, and capacity is shared
    When this host has sent a request of 9000 tokens to "s0", which holds 10000
    Then of 400 choices for a request of 2000 tokens at most 80 are "s0"

  # Guards against requests that no server can ever run and that are sent or told to come again.
  Scenario Outline: A prompt that exceeds the memory of every server
    Given a host with servers that hold 10000 tokens, and capacity is <shared>
    When a request with a prompt of <tokens> tokens arrives
    Then its caller gets <status> without retry-after and <sends> servers have received it

    Examples:
      | shared     | tokens | status | sends |
      | shared     | 10000  | 503    | 0     |
      | shared     | 9999   | 200    | 1     |
      | not shared | 10000  | 200    | 1     |

  # Guards against a server that is slow and that each host must find by itself, once in many seconds.
  Scenario Outline: Slowness that another host was told
    Given 4 servers with 8 slots, and capacity is shared
    When another host was told a slowdown of <slowdown> by "s0" <age> ms ago and passes it on
    Then the slowness of "s0" is at least <low> and it is passed on <passed>

    Examples:
      | slowdown | age  | low | passed         |
      | 6        | 100  | 4   | by a hub only  |
      | 6        | 700  | 2   | by a hub only  |
      | 1        | 100  | 1   | by none        |
      | 6        | 3000 | 1.5 | by none        |

  # Guards against a message of another build, or a wrong one, that stops a host.
  Scenario: Slowness that makes no sense
    Given 4 servers with 8 slots, and capacity is shared
    When another host passes on slowness of unknown servers, of 0 and of negative age
    Then the slowness of "s0" is at least 1 and it is passed on by none
