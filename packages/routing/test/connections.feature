@connections
Feature: A bound of the connections of callers
  A server with at most 3 connections.

  # Guards against callers that stay connected and so keep the descriptors of a host from all others.
  Scenario Outline: One connection too many closes the one that waits for its caller for longest
    Given connections with <first>, <second> and <third>
    When another connection is opened
    Then the connections <left> are open

    Examples:
      | first                 | second                | third                 | left     |
      | nothing               | nothing               | nothing               | 2, 3, 4  |
      | a request in progress | nothing               | nothing               | 1, 3, 4  |
      | a part of a head      | nothing               | nothing               | 2, 3, 4  |
      | a part of a body      | a request in progress | nothing               | 2, 3, 4  |
      | a request in progress | a part of a body      | nothing               | 1, 3, 4  |
      | an answered request   | nothing               | nothing               | 1, 3, 4  |
      | an answer unread      | a request in progress | a request in progress | 2, 3, 4  |
      | a request in progress | a request in progress | a request in progress | 1, 2, 3  |
