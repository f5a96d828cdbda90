@readers
Feature: Callers that read slowly

  # Many slow streams would use up the memory of their host if each read on into the same bound.
  Scenario: A server is paused earlier when the host has little room
    Given a host with 1000000 bytes for answers and 100000 for each stream
    And a stream whose caller reads nothing
    When its server sends 1000 bytes at a time until it is paused
    Then it has sent 16000 to 18000 bytes

  # A server was paused at once when its caller read slowly, and cut the answer off seconds later.
  Scenario: A stream is read on into its bound while there is room
    Given a host with 100000000 bytes for answers and 100000 for each stream
    And a stream whose caller reads nothing
    When its server sends 1000 bytes at a time until it is paused
    Then it has sent 100000 to 101000 bytes
    When its caller reads all
    Then the server is resumed
    And the caller has received all that was sent, in order
    And 0 bytes are held

  # The end of an answer must not overtake what is held of it.
  Scenario: An answer ends after all that is held was read
    Given a host with 100000000 bytes for answers and 100000 for each stream
    And a stream whose caller reads nothing
    When its server sends 50000 bytes and ends
    Then the answer has not ended for the caller
    When its caller reads all
    Then the caller has received all that was sent, in order
    And the answer has ended for the caller
    And 0 bytes are held

  Scenario: What is held for a caller that leaves is free again
    Given a host with 100000000 bytes for answers and 100000 for each stream
    And a stream whose caller reads nothing
    When its server sends 50000 bytes and ends
    And its caller leaves
    Then 0 bytes are held

  # One slow caller must not cost others their answers.
  Scenario: The stream with the most unread bytes ends first
    Given a host with 100000 bytes for answers and 100000 for each stream
    And streams whose callers have not read 20000, 50000 and 25000 bytes
    When another stream receives 10000 bytes
    Then only stream 2 has ended
    And 55000 bytes are held

  Scenario: A stream that itself holds the most ends
    Given a host with 100000 bytes for answers and 100000 for each stream
    And streams whose callers have not read 20000, 20000 and 25000 bytes
    When another stream receives 40000 bytes
    Then only stream 4 has ended

  # A host that is full of unread answers must still serve callers that read.
  Scenario: A whole answer gets the room of a stream that holds more
    Given a host with 100000 bytes for answers and 100000 for each stream
    And streams whose callers have not read 20000, 50000 and 25000 bytes
    When a whole answer of 10000 bytes arrives
    Then it is held
    And only stream 2 has ended

  Scenario: A stream whose caller reads is never ended
    Given a host with 100000 bytes for answers and 100000 for each stream
    And streams whose callers have not read 20000, 50000 and 29500 bytes
    When another stream whose caller reads receives 1000 bytes 1000 times
    Then it has not ended

  # Bytes that are released twice or never would move the bound of the host for good.
  Scenario: The bound holds in any order of events
    Then no order of sends, reads, ends and lost callers exceeds the bound, leaks bytes or mixes them
