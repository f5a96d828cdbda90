@bodies
Feature: Bodies of requests share the memory of their host

  # Guards against unfinished bodies that keep others from being read, or add up beyond the memory of the host.
  Scenario: The largest unfinished body is given up for others
    Given a host with 600000 bytes for bodies
    When callers send 150000 and 220000 of 250000 bytes
    And a caller sends a whole body of 100000 bytes
    Then the results are "open, no-memory, whole"
    When all callers have left
    Then the host holds 0 bytes

  # Guards against requests under way that lose their bodies, and against large bodies that take all the room.
  Scenario: Bodies that are whole are kept, and leave room for small ones
    Given a host with 400000 bytes for bodies
    When a caller sends a whole body of 190000 bytes
    And a caller sends a whole body of 190000 bytes
    And a caller sends a whole body of 5000 bytes
    Then the results are "whole, no-memory, whole"

  # Guards against a host that reads a body although its head says that it is too large.
  Scenario: A length over the limit is refused before the body is sent
    Given a host with 400000 bytes for bodies
    When callers send 1000 and 1000 of 500001 bytes
    Then the results are "too-large, too-large"

  # Guards against blocks that are used again while their content is still needed.
  Scenario: Bodies in chunks of any size arrive unchanged
    Given a host with 40000000 bytes for bodies
    Then bodies in chunks of any size, sent at once and one after another, arrive unchanged

  # Guards against bodies that stop, and are held as long as their connections are open.
  Scenario: A body that has stopped is given up, and one that is slow is not
    Given a host with 400000 bytes for bodies, which waits 300 ms for the rest of a body
    When callers send 1000 of 2000 bytes, then one of them 10 bytes each 100 ms
    Then after 1000 ms the results are "stalled, open"

  Scenario: A request that is aborted while its body comes holds nothing
    Given a host with 400000 bytes for bodies, which aborts requests after 200 ms
    When callers send 1000 and 100000 of 250000 bytes
    Then after 500 ms the results are "aborted, aborted"
    And the host holds 0 bytes
