@relay-standin
Feature: Relay between two processes, with faults of links

  # Guards against a fault that no network has: bytes that are lost or overtaken inside a connection.
  Scenario Outline: A connection never delivers bytes after others that it has lost
    Given a server that sends a number each 20 ms, behind a relay
    When the relay is in the mode "<mode>" for 200 ms and passes for 400 ms
    Then the client has received the numbers from 1 on without a gap

    Examples:
      | mode         |
      | cut-answers  |
      | delay        |
      | cut          |
      | silence-open |
