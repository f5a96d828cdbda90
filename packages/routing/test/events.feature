Feature: Boundaries of events in a stream

  # Guards against events whose lines end with CR or CRLF that are never found, so that a stream is
  # held back until its end.
  Scenario Outline: Events are found whatever ends their lines, and however they are cut into chunks
    Given an event stream "<stream>"
    When it arrives in chunks of each size
    Then the complete events are "<complete>" and the last id is "<id>"

    Examples:
      | stream                                  | complete                           | id   |
      | id: 1\ndata: a\n\n                      | id: 1\ndata: a\n\n                 | 1    |
      | id: 1\ndata: a\n\nid: 2\nda             | id: 1\ndata: a\n\n                 | 1    |
      | id: 1\r\ndata: a\r\n\r\n                | id: 1\r\ndata: a\r\n\r\n           | 1    |
      | id: 1\r\ndata: a\r\n\r\nid: 2\r\n       | id: 1\r\ndata: a\r\n\r\n           | 1    |
      | id: 1\rdata: a\r\r                      | id: 1\rdata: a\r\r                 | 1    |
      | id: 1\rdata: a\r\rid: 2\r               | id: 1\rdata: a\r\r                 | 1    |
      | id:1\ndata: a\r\n\ndata: b\n\n          | id:1\ndata: a\r\n\ndata: b\n\n     | 1    |
      | data: a\r\n                             |                                    | none |
      | data: a                                 |                                    | none |
