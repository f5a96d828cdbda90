Feature: A request through the whole system
  A node forwards a request of a caller to a target and returns the complete answer.

  Background:
    Given a fleet of 2 nodes

  Scenario Outline: An answer is delivered completely
    When the caller asks "<model>" for <tokens> tokens <manner>
    Then the answer is complete with <tokens> words

    Examples:
      | model   | tokens | manner   |
      | model-a | 1      | streamed |
      | model-a | 200    | streamed |
      | model-b | 20     | at once  |

  Scenario Outline: An unauthorized request is refused before it runs
    When the caller with key "<key>" asks "<model>"
    Then the request is refused as "<code>" and did not run
    And no engine has received a request

    Examples:
      | key             | model   | code        |
      |                 | model-a | key_missing |
      | wrong           | model-a | key_unknown |
      | secret-of-alpha | model-z | not_found   |

  Scenario: Concurrent first requests at every node cause one load
    When 10 callers at each node ask "model-a" at once
    Then every answer is complete
    And "model-a" was loaded once

  Scenario: A caller's key is not forwarded to a target
    When a request carries its key in every place in which a key could travel
    Then the service has received the request without the key

  Scenario Outline: A call with a key that cannot be removed from it is refused
    When the caller puts its key into the <place> of a call
    Then the request is refused as "bad_request" and did not run

    Examples:
      | place |
      | path  |
      | body  |

  Scenario: An open route needs no key, any other route does
    When "GET" "accounts/tariffs" is called without a key
    Then the call is answered with 200
    When "GET" "accounts/balances" is called without a key
    Then the request is refused as "key_missing" and did not run

  Scenario Outline: A path that targets may decode differently does not pass the route check
    When "GET" "<path>" is called without a key
    Then the call is answered with <status>
    And the service has run 0 calls

    Examples:
      | path                          | status |
      | accounts/tariffs%2f..%2fother | 400    |
      | accounts/tariffs%5cother      | 400    |
      | accounts/tariffsother         | 404    |

  Scenario: A request is answered by its deadline
    Given the engines hang on every request
    When the caller asks "model-a" with a deadline of 1 seconds
    Then the request is refused as "deadline" within 1500 ms
    And the refusal does not claim that the request did not run

  Scenario: A request whose model fits on no server is refused without waiting
    When the caller asks "model-too-large"
    Then the request is refused as "no_capacity" within 1500 ms
    And the refusal has a retry-after header

  Scenario: The engine cancels a generation when its caller disconnects
    When the caller disconnects after the first of 400 tokens
    Then an engine has cancelled a generation

  Scenario: Credit that is reserved and not used is returned
    When the caller asks "model-a" 60 times for up to 3000 tokens and gets 2
    Then every answer is complete

  Scenario: A graceful stop interrupts no request
    Given the caller streams 100 tokens from node 1
    When node 1 receives SIGTERM
    Then the open answers are complete
    And node 1 ends with exit code 0

  # A stop waited for open requests without a limit, until the process was killed.
  Scenario: A stop ends within its time although a request does not
    Given the caller streams 2000 tokens from node 1
    When node 1 receives SIGTERM
    Then node 1 ends with exit code 0 within 20 seconds
    And the open answers end with the error "stopping"

  # The balancer was told only when requests were refused already.
  Scenario: A node that receives SIGTERM leaves the balancer before it refuses requests
    Given "model-a" is loaded
    When node 1 receives SIGTERM
    And node 1 answers that it is not ready
    And the caller asks "model-a" for 8 tokens streamed
    Then the answer is complete with 8 words

  Scenario: A second signal ends a node at once
    Given the caller streams 2000 tokens from node 1
    When node 1 receives SIGTERM
    And node 1 answers that it is not ready
    And node 1 receives SIGTERM
    Then node 1 ends with exit code 4

  Scenario Outline: An engine that fails before its first byte does not fail the request
    Given "model-a" is loaded
    And the next request reaches an engine that <fault>
    When the caller asks "model-a" for 8 tokens streamed
    Then the answer is complete with 8 words

    Examples:
      | fault       |
      | cut-before  |
      | crossed     |

  Scenario Outline: A truncated answer ends with an error and is never reported as complete
    Given "model-a" is loaded
    And the next request reaches an engine that <fault>
    When the caller asks "model-a" for 8 tokens streamed
    Then the answer ends with the error "<code>"

    Examples:
      | fault      | code          |
      | cut-amid   | target_failed |
      | ends-early | answer_cut    |

  # Guards against the text of an error in the middle of an event, in a stream that ends as if it were whole.
  Scenario: An answer that is cut inside an event is cut for the caller as well
    Given "model-a" is loaded
    And the next request reaches an engine that cut-inside-event
    When the caller asks "model-a" for 8 tokens streamed
    Then the answer is cut, without an error in it

  Scenario: A call that one target may have run is not refused as not run
    Given a fleet of 1 node with 2 services
    And the first service cuts its answers and the second cannot be reached
    When balances are asked for 8 times
    Then no refusal claims that its request did not run

  Scenario: A request can be explained afterwards
    When the caller asks "model-a" for 4 tokens streamed
    Then the explanation names the key, the admission and the server
