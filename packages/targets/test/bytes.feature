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

  # Guards against exchanges that read bytes without end until their deadline, and against interim
  # responses that count as the beginning of an answer.
  Scenario Outline: A server sends bytes that are no answer without end
    Given a server that sends "<first>" and then "<endless>" without end
    When its answer is received over the <adapter>
    Then the exchange ends as "<outcome>" within 1000 ms
    And the server could send at most 16 MB

    Examples: in a head
      | first                                   | endless                         | adapter          | outcome   |
      |                                         | \r\n                            | connection pool  | cut, sent |
      |                                         | \r\n                            | dedicated client | cut, sent |
      |                                         | .                               | connection pool  | cut, sent |
      | HTTP/1.1 200                            | a                               | dedicated client | cut, sent |
      | HTTP/1.1 200 OK\r\nName:                | a                               | dedicated client | cut, sent |
      | HTTP/1.1 200 OK\r\n                     | Name: a\r\n                     | dedicated client | cut, sent |
      |                                         | HTTP/1.1 100 Continue\r\n\r\n   | dedicated client | cut, sent |
      |                                         | HTTP/1.1 102 Processing\r\n\r\n | connection pool  | cut, sent |
      |                                         | HTTP/1.1 103 Hints\r\n\r\n      | dedicated client | cut, sent |

    Examples: in a body
      | first                                                               | endless     | adapter          | outcome       |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;              | a           | dedicated client | cut, answered |
      | HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n  | Name: a\r\n | connection pool  | cut, answered |
