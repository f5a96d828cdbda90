@balancing
Feature: Choosing servers of unequal load and speed

  # Guards against an estimate that forgets what this host has sent since the last report.
  Scenario Outline: Requests at a server
    Given a report of <report> requests <age> ms ago, when this host had <before> of them
    When this host has <own> requests there and messages tell of <others> of other hosts
    Then <low> to <high> requests are estimated there

    Examples:
      | report | age  | before | own | others  | low | high |
      | 20     | 10   | 1      | 1   | 0       | 19  | 20   |
      | 20     | 10   | 1      | 5   | 0       | 23  | 24   |
      | 0      | 10   | 0      | 0   | 20      | 0   | 1    |
      | 20     | 350  | 1      | 1   | 9       | 14  | 16   |
      | 20     | 5000 | 1      | 1   | 9       | 10  | 10   |
      | 20     | 10   | 1      | 4   | unknown | 23  | 23   |
      | 20     | 5000 | 1      | 1   | unknown | -1  | -1   |

  # Guards against a figure that is used long after it has changed, and against one observation that
  # keeps a server away for good.
  Scenario Outline: Slowness of a server
    When a server has reported a slowdown of <reported> <age> ms ago, and was <observed> times as slow <since> ms ago
    Then its slowness is <low> to <high>

    Examples:
      | reported | age  | observed | since  | low  | high |
      | 4        | 0    | 1        | 0      | 3.9  | 4.1  |
      | 4        | 500  | 1        | 0      | 1.9  | 2.1  |
      | 4        | 1000 | 1        | 0      | 1    | 1    |
      | 1        | 1000 | 6        | 0      | 2    | 2.1  |
      | 1        | 1000 | 100      | 0      | 2.2  | 2.4  |
      | 1        | 1000 | 6        | 60000  | 1    | 1.1  |
      | 1000     | 0    | 1        | 0      | 7.9  | 8    |

  # Guards against a speed that is taken for the size of the prompts.
  Scenario: Times of requests are learnt by kind and size
    When 300 requests of 0 to 4000 uncached tokens take 50 ms and 1 ms for each 10 tokens
    Then a request of 2000 uncached tokens is expected to take 240 to 260 ms

  # Guards against a new host that sends all to the one server of which it knows, or to none of those.
  Scenario Outline: A host that knows little
    Given 10 servers of which <known> have reported 12 requests
    When 2000 servers are chosen without anything being sent
    Then each server is chosen 140 to 260 times

    Examples:
      | known |
      | 0     |
      | 1     |
      | 10    |

  # Guards against all requests with a prompt at the one server that has it.
  Scenario Outline: A server that has the prompt, and others that need 60 ms for it
    Given 10 servers with 10 requests each, and <requests> at the one that has the prompt
    When 2000 servers are chosen without anything being sent
    Then the one that has the prompt is chosen <low> to <high> times

    Examples:
      | requests | low  | high |
      | 10       | 1500 | 2000 |
      | 40       | 0    | 100  |

  # Guards against requests that end others by taking their memory.
  Scenario Outline: Memory of a server
    Then of <slots> slots <usable> are usable with <tokens> tokens for each request and memory for <memory>

    Examples:
      | slots | usable | tokens | memory   |
      | 24    | 24     | 500    | Infinity |
      | 24    | 10     | 1000   | 10500    |
      | 24    | 1      | 20000  | 10500    |

  # Guards against hosts that all choose the server that was the emptiest some time ago, which leaves
  # others idle.
  Scenario Outline: Load over the servers
    When <hosts> hosts send <rate> requests a second to <servers> servers of <slots> slots, speeds "<speeds>"
    Then the busiest server has at most <ratio> times the mean
    And in at most <waiting>% of the samples a request waits while an equal server has a free slot
    And 99 of 100 requests end within <p99> ms
    And with the choice of the lowest estimate the busiest server has more, and requests end later

    Examples:
      | hosts | rate | servers | slots | speeds   | ratio | waiting | p99  |
      | 10    | 100  | 4       | 24    | equal    | 1.6   | 20      | 900  |
      | 90    | 130  | 4       | 24    | equal    | 1.5   | 20      | 900  |
      | 90    | 1000 | 42      | 24    | equal    | 2     | 30      | 800  |
      | 90    | 800  | 42      | 24    | uneven   | 2.4   | 30      | 1500 |
      | 300   | 1000 | 42      | 24    | equal    | 2.2   | 30      | 800  |

  # Guards against a server that fails at once, and so always seems empty.
  Scenario: A server that fails everything
    When 1 of 42 servers fails all it receives, while 20 hosts send 400 requests a second for 10 s
    Then it fails at most 8% of a fair share in the second half
