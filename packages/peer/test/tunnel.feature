@tunnel
Feature: Connections that one node passes on for another

  Scenario Outline: Which connections are passed on
    Given a node that passes connections to a server on
    When another node with <secret> asks for a connection to <target>
    Then it is <outcome>

    Examples:
      | secret           | target             | outcome |
      | the same secret  | the server         | open    |
      | another secret   | the server         | refused |
      | the same secret  | an unlisted target | refused |

  Scenario Outline: The end of a connection is passed on as it is
    Given a node that passes connections to a server on
    And a connection of another node to the server
    When the <end> <closes> its connection
    Then the <other> sees that the connection <result>

    Examples:
      | end    | closes | other  | result    |
      | server | resets | node   | was reset |
      | server | ends   | node   | has ended |
      | node   | ends   | server | has ended |
      | relay  | resets | node   | was reset |

  Scenario: Bytes are passed on in both directions
    Given a node that passes connections to a server on
    And a connection of another node to the server
    When the node sends 1000000 bytes, which the server sends back
    Then the node receives 1000000 bytes
