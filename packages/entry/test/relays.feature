@entry-relays
Feature: Connections that other hosts open
  A host that reaches no server itself asks others, a few for each connection.

  # Guards against hosts that serve nothing because all hosts that they ask are cut off like themselves.
  Scenario Outline: A host of another failure domain is asked while the own one is cut off
    Given a host beside <own> hosts in its failure domain and <others> hosts in each of 3 others
    And the hosts of <cut> failure domains reach no server
    When it opens a connection to a server
    Then it is opened through a host that reaches the server, after at most 5 were asked

    Examples:
      | own | others | cut |
      | 22  | 20     | 1   |
      | 22  | 20     | 2   |
      | 22  | 20     | 3   |
      | 2   | 2      | 1   |
      | 0   | 1      | 2   |

  Scenario: A host of the own failure domain is asked first
    Given a host beside 3 hosts in its failure domain and 3 hosts in each of 3 others
    When it opens a connection to a server
    Then it is opened through a host of its failure domain
