@shares
Feature: Limits that hosts keep together
  A workspace has 1,000 tokens a second and a burst of 2,000 over four hosts, which tell each other
  every 200 ms what they have taken. Hosts that do not hear each other may use 100 tokens a second
  beyond the limits.

  Scenario Outline: Never more than rate and burst, and nothing refused within the rate
    Given four hosts that share a workspace's limits
    When <where> asks for <asked> tokens a second for 20 s while <links>
    Then the workspace got at most <most> tokens
    And it got at least <least> tokens

    Examples:
      | where     | asked | links                        | most  | least |
      | one host  | 900   | all hear each other          | 18000 | 18000 |
      | each host | 225   | all hear each other          | 18000 | 17800 |
      | each host | 1500  | all hear each other          | 24500 | 21500 |
      | one host  | 6000  | all hear each other          | 22500 | 21500 |
      | each host | 1500  | two pairs are cut apart      | 28500 | 21500 |
      | each host | 1500  | nobody hears anybody         | 34500 | 20000 |

  Scenario: A host that comes back does not bring a fresh burst
    Given four hosts that share a workspace's limits
    When each host asks for 1500 tokens a second for 10 s while all hear each other
    And all hosts start again without a word of what was used
    And each host asks for 1500 tokens a second for 10 s while all hear each other
    Then the workspace got at most 24500 tokens

  Scenario Outline: Repeats stay within their budget
    Given a retry budget of 0.2 repeats for each request and 56 besides, shared by 8 hosts
    When a host sends <firsts> requests and tries to repeat <repeats> of them within 10 s
    Then at most <most> repeats are sent

    Examples:
      | firsts | repeats | most |
      | 0      | 100     | 7    |
      | 100    | 100     | 27   |
      | 1000   | 1000    | 207  |

  Scenario: The budget comes back
    Given a retry budget of 0.2 repeats for each request and 56 besides, shared by 8 hosts
    When a host sends 100 requests and tries to repeat 100 of them within 10 s
    And 11 s pass
    And a host sends 100 requests and tries to repeat 100 of them within 10 s
    Then at least 15 repeats are sent
