@orders
Feature: Orders to servers during faults
  A server of 200 GB with 8 adapter slots holds "a" and "b" of 60 GB. A real server crashes when it
  is ordered to load more than fits; the fake server counts such orders instead. The list of servers
  lags by a second, reports by 300 ms.

  Scenario: A wanted model is loaded
    Given a server and its coordinator
    When requests wait for "c" for 2 s
    Then the server holds "a b c"
    And no order exceeded the server's capacity

  Scenario: A model is evicted while its requests still run
    Given a server and its coordinator
    And unloads take 200 ms
    When requests wait for "c" for 2 s
    And requests wait for "d" for 3 s
    Then the server holds "d"
    And no order exceeded the server's capacity

  Scenario Outline: Orders get no answer and are executed late or never
    Given a server and its coordinator
    And the first <count> orders get no answer and are executed <late>
    When requests wait for "c" for 3 s
    And requests wait for "d" for 6 s
    Then the server holds "d"
    And no order exceeded the server's capacity

    Examples:
      | count | late        |
      | 1     | never       |
      | 1     | after 2.5 s |
      | 3     | never       |
      | 3     | after 2.5 s |
      | 2     | after 4 s   |

  Scenario: Nine adapters are requested at once
    Given a server and its coordinator
    When adapters "1 2 3 4 5 6 7 8 9" of "a" are requested at once
    Then no order exceeded the server's capacity
    And the server holds 8 adapters

  # Guards against requests that wait for an adapter until the server has left that loads a model.
  Scenario: An adapter is refused once a server that loads a model begins to leave
    Given a server and its coordinator
    And unloads take 5000 ms
    When requests wait for "d" for 1 s
    And adapter "1" of "a" is requested, and the server begins to leave after 100 ms
    Then the request for the adapter is refused after 100 to 200 ms

  Scenario: A load ordered by the former coordinator is still in progress
    Given a server that executes the former coordinator's load of "c" for another 1.5 s
    And its coordinator
    When requests wait for "d" for 1 s
    Then no order exceeded the server's capacity
    When requests wait for "d" for 4 s
    Then the server holds "d"

  Scenario: A server restarts under the same id
    Given a server and its coordinator
    When requests wait for "c" for 2 s
    And the server restarts
    And requests wait for "d" for 3 s
    Then the server holds "d"
    And no order exceeded the server's capacity

  Scenario: A host without the lease sends no order
    Given a server and its coordinator
    And the lease is lost
    When requests wait for "c" for 2 s
    Then the server received 0 orders

  Scenario: One adapter is requested several times at once
    Given a server and its coordinator
    When adapters "1 1 1" of "a" are requested at once
    Then the server received 1 orders
    When requests wait for "c" for 2 s
    Then the server holds "a b c"

  Scenario: The coordinator has counted more orders than the server
    Given a server and its coordinator
    And the server does not count its first 2 orders
    When requests wait for "c" for 3 s
    And requests wait for "d" for 6 s
    Then the server holds "d"
    And no order exceeded the server's capacity

  Scenario: A model is loaded only once while its victims are being unloaded
    Given two servers and their coordinator
    And unloads take 400 ms
    When requests wait for "d" for 2 s
    Then the servers started 1 load

  # Guards against models that can only be had from a server that takes far fewer requests than come.
  Scenario: A model is loaded on another server once its own has limited its requests
    Given two servers and their coordinator
    When requests wait for "c" for 2 s
    And the server that holds "c" limits its requests, and requests wait for "c" for 3 s
    Then the servers started 2 loads
    And both servers hold "c"

  Scenario: A model is loaded although all servers have limited their requests
    Given two servers and their coordinator
    When all servers limit their requests, and requests wait for "c" for 2 s
    Then the servers started 1 load

  # Guards against orders and reports to evacuated servers, and models that nothing else could serve.
  Scenario: A model that only an evacuated server holds is loaded on another one
    Given two servers and their coordinator
    When requests wait for "c" for 2 s
    And the server that holds "c" is evacuated, and requests wait for "c" for 3 s
    Then the servers started 2 loads
    And both servers hold "c"
    And evacuated servers received no order and no report

  Scenario: Nothing is ordered from evacuated servers, also if there are no others
    Given two servers and their coordinator
    When all servers are evacuated, and requests wait for "c" for 10 s
    And adapters "1 2" of "a" are requested at once
    Then the servers started 0 loads
    And evacuated servers received no order and no report

  Scenario: A server whose evacuation has ended gets orders again
    Given a server and its coordinator
    When all servers are evacuated, and requests wait for "c" for 3 s
    And the evacuation ends
    And requests wait for "c" for 2 s
    Then the server holds "a b c"

  Scenario: An adapter is evicted while its requests still run
    Given a server and its coordinator
    When adapters "1 2 3 4 5 6 7 8" of "a" are requested at once
    And all adapters are in use for the next 2 s
    And adapters "9" of "a" are requested at once
    Then no order exceeded the server's capacity

  # Guards against a load over the adapter slots after the unload of an adapter in use was sent twice.
  Scenario Outline: The unload of an adapter in use gets no answer, and is confirmed when it is sent again
    Given a server and its coordinator
    And the server confirms orders that have no effect
    When adapters "1 2 3 4 5 6 7 8" of "a" are requested at once
    And all adapters are in use for the next 9 s
    And the first 1 orders get no answer and are executed after <seconds> s
    And adapters "9" of "a" are requested at once
    And adapters "9" of "a" are requested at once
    And adapters "10" of "a" are requested at once
    And adapters "9" of "a" are requested at once
    Then no order exceeded the server's capacity

    Examples:
      | seconds |
      | 0       |
      | 0.5     |
      | 3       |

  Scenario: Any sequence of wants, lost and late answers, restarts and changes of the lease
    Then 400 generated sequences of events never exceed the server's capacity
    And 400 generated sequences of events, with shared capacity, never exceed the server's capacity
    And 400 generated sequences of events, with repeated orders confirmed, never exceed the server's capacity
