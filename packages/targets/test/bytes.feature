@bytes
Feature: Answers of servers that break the protocol

  # Guards against an assertion outside of the exchange, which ended the process, when a connection
  # ends while its answer is paused.
  Scenario Outline: A connection ends while the receiver of its answer is paused
    Given a server that sends "<head>" with "Connection: close"
    And it <ends> while the receiver is paused
    When its answer is received over the <adapter>
    Then the exchange ends as "<outcome>" with 1000 bytes

    Examples:
      | head                 | ends   | adapter          | outcome       |
      | Bulrushspar: 1       | closes | connection pool  | whole         |
      | Bulrushspar: 1       | closes | dedicated client | whole         |
      | Bulrushspar: 1       | resets | connection pool  | cut, answered |
      | Bulrushspar: 1       | resets | dedicated client | cut, answered |
      | Content-Length: 1000 | closes | connection pool  | whole         |
      | Content-Length: 1001 | closes | connection pool  | cut, answered |

  # Guards against answers without a length that count as complete although they were reset.
  Scenario Outline: A connection ends while its answer is received
    Given a server that sends "<head>" with "Connection: close"
    And it <ends> while the receiver is reading
    When its answer is received over the <adapter>
    Then the exchange ends as "<outcome>" with 1000 bytes

    Examples:
      | head                 | ends   | adapter          | outcome       |
      | Bulrushspar: 1       | closes | connection pool  | whole         |
      | Bulrushspar: 1       | resets | connection pool  | cut, answered |
      | Bulrushspar: 1       | resets | dedicated client | cut, answered |
      | Content-Length: 1000 | closes | connection pool  | whole         |
