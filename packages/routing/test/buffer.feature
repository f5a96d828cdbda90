Feature: Memory of answers that are not complete yet

  # Guards against a host whose memory is used up by several large answers at once.
  Scenario Outline: Answers share the memory of a host
    Given a memory for 64 MB in all and 16 MB of each answer
    When <count> answers of <size> MB arrive at once, in chunks of <chunk> bytes
    Then they hold at most 64 MB together
    And <whole> of them are held whole
    And an answer of 1 MB is still held whole

    Examples:
      | count | size | chunk   | whole |
      | 1     | 16   | 1000000 | 1     |
      | 1     | 17   | 1000000 | 0     |
      | 3     | 16   | 1000000 | 3     |
      | 20    | 2    | 100000  | 20    |
      | 20    | 16   | 100000  | 0     |
      | 3     | 1    | 1       | 3     |

  Scenario: The memory of answers that have ended is free again
    Given a memory for 64 MB in all and 16 MB of each answer
    When 20 answers of 16 MB arrive at once, in chunks of 100000 bytes
    And they have ended
    And 3 answers of 16 MB arrive at once, in chunks of 100000 bytes
    Then 3 of them are held whole
