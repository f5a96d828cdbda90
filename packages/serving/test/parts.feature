@serving-parts
Feature: Requests that crash servers by a common prompt part

  Background:
    Given 10 servers that crash when they answer a request with prompt part "p", and are back after 3 s

  # Guards against requests that are all different, so that each is taken for a new one and ends servers.
  Scenario: Requests that share only the part on which servers crash
    When for 15 s a new request with parts "a p" arrives each 500 ms and one with parts "a b" each 50 ms
    Then at most 4 servers crash
    And each request with parts "a b" is served, unless two servers crashed that ran it
    And the last request with parts "a p" gets 503 without retry-after

  # Guards against a second server that ends under a stream that was cut by a crash.
  Scenario: A request that was lost is not sent again
    When 2 servers have crashed under requests with parts "a p"
    And a new request with parts "a p" arrives
    Then 1 server receives it and its caller gets a broken answer

  # Guards against a request that was admitted before the block and is sent after it.
  Scenario: A request that waits for its model is blocked meanwhile
    When the model is unloaded and a new request with parts "a p" arrives
    And another host reports 3 crashes under parts "a p"
    And the model is loaded
    Then 0 servers receive it and its caller gets 503

  # Guards against requests that are not retried because they ran beside one that crashes servers.
  Scenario: A request that ran at the server that crashed first is served
    When a request with parts "a b" runs at the server that crashes first
    Then it is served

  # Guards against a part that stays blocked though servers run it.
  Scenario: A part that a server has run is not blocked
    When another host reports 3 crashes under parts "a b"
    And another host reports that "a b" were served
    And a new request with parts "a b" arrives
    Then 1 server receives it and its caller gets the answer
