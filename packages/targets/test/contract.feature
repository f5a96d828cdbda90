Feature: Contracts of engines and plain services

  Scenario Outline: Orders to an engine are idempotent and fenced
    Given the engine adapter "<adapter>" with an engine that <checks>
    Then a model that is ordered repeatedly is loaded once
    And an order with an older fencing number is <older>
    And a model that does not fit is answered with "no-memory"
    And an unload order removes a model and lets its running request finish

    Examples:
      | adapter | checks                | older    |
      | http    | checks orders         | stale    |
      | http    | does not check orders | accepted |

  Scenario Outline: A failed exchange reports its fault and its progress
    Given the engine adapter "<adapter>" with an engine that checks orders
    When an exchange is subject to "<fault>"
    Then it ends as "<outcome>"

    Examples:
      | adapter | fault                   | outcome                |
      | http    | none                    | whole                  |
      | http    | connection refused      | unreachable, not-sent  |
      | http    | cut-before              | cut, sent              |
      | http    | cut-amid                | cut, answered          |
      | http    | silent                  | silent, sent           |
      | http    | aborted before sending  | aborted, not-sent      |
      | http    | aborted while answering | aborted, answered      |
      | http    | receiver throws         | thrown by the receiver |

  Scenario: A paused receiver slows the engine down and loses no data
    Given the engine adapter "http" with an engine that checks orders
    When an exchange is paused after its first chunk and resumed
    Then it ends as "whole"

  Scenario Outline: A call to a plain service is sent at most once and reports whether it was sent
    Given the service adapter "<adapter>"
    When a call to the service is subject to "<fault>"
    Then the call ends as "<outcome>" and ran <runs> times

    Examples:
      | adapter          | fault              | outcome               | runs |
      | connection pool  | none               | whole                 | 1    |
      | dedicated client | none               | whole                 | 1    |
      | connection pool  | cut-after          | cut, sent             | 1    |
      | dedicated client | cut-after          | cut, sent             | 1    |
      | dedicated client | cut-before         | cut, sent             | 0    |
      | dedicated client | silent             | silent, sent          | 1    |
      | dedicated client | connection refused | unreachable, not-sent | 0    |
      | connection pool  | connection refused | unreachable, not-sent | 0    |

    # Guards against calls that are sent to a server that has left while their connection opened.
    Examples: withdrawn calls
      | adapter          | fault              | outcome               | runs |
      | connection pool  | withdrawal         | withdrawn, not-sent   | 0    |
      | dedicated client | withdrawal         | withdrawn, not-sent   | 0    |
