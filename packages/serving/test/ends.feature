@serving-ends
Feature: Answers whose end only the end of their connection marks
  A server ends an answer without a length or chunks, and is asked for its report then.

  # Guards against a part of an answer that looks whole because its server was killed.
  Scenario Outline: An answer is whole only if its server outlives it
    Given a server that sends <sent> of an answer without a length
    And then it <behaves>
    When a caller asks for <delivery>
    Then after <ms> ms the caller has <outcome>

    Examples:
      | sent   | behaves                                          | delivery         | ms   | outcome        |
      | all    | answers reports                                  | an answer        | 50   | a whole answer |
      | all    | answers reports                                  | a stream         | 50   | a whole answer |
      | a part | refuses connections                              | an answer        | 200  | status 502     |
      | a part | refuses connections                              | a stream         | 200  | a cut answer   |
      | a part | has another process in its place                 | a stream         | 50   | a cut answer   |
      | a part | stays silent                                     | an answer        | 1100 | status 502     |
      | a part | stays silent                                     | a stream         | 1100 | a cut answer   |
      | all    | refuses one connection and answers reports       | a stream         | 200  | a whole answer |
      | all    | stays silent, and answers a request sent later   | a stream         | 200  | a whole answer |
      | a part | stays silent, and answers a request sent before  | a stream         | 1100 | a cut answer   |

  # Guards against a part of an answer that looks whole because the host was killed that passed it on.
  Scenario Outline: An answer that another host passes on is whole only if that host outlives it
    Given a server that sends <sent> of an answer without a length
    And then it answers reports
    And the host that passes the answer on <behaves>
    When a caller asks for a stream
    Then after 400 ms the caller has <outcome>

    Examples:
      | sent   | behaves                             | outcome        |
      | all    | has run since before the connection | a whole answer |
      | a part | has started since                   | a cut answer   |

  Scenario: Many answers that end at one server are confirmed by few questions
    Given a server that sends all of an answer without a length
    And then it answers reports
    When 50 callers ask for a stream at once
    Then after 200 ms all callers have a whole answer
    And the server was asked at most 2 times

  # Guards against a part of a stream that looks whole because a server, or a device on the way, that lives on has
  # ended it in order.
  Scenario Outline: The rest of a resumable stream comes from the server that lives on
    Given a server that sends <sent> of an answer without a length
    And a server that <rest> when it is asked for the rest
    And then it answers reports
    When a caller asks for a resumable stream
    Then the caller has a <outcome> answer of <events> events within <ms> ms, and the rest was asked for <times> times

    Examples:
      | sent   | rest                | ms   | outcome | events | times |
      | a part | marks its end       | 100  | whole   | 2      | 1     |
      | a part | does not mark it    | 200  | whole   | 2      | 2     |
      | all    | marks its end       | 100  | whole   | 2      | 1     |
      | all    | does not mark it    | 100  | whole   | 2      | 1     |
      | a part | is cut inside it    | 400  | cut     | 2      | 2     |
      | a part | ends a part again   | 400  | cut     | 10     | 9     |

  # Guards against a part of a stream that looks whole because its server could not be asked for the rest.
  Scenario Outline: A resumable stream whose rest can't be asked for is not whole
    Given a server that sends <sent> of an answer without a length
    And a server that <rest> when it is asked for the rest
    And then it answers reports
    When a caller asks for a resumable stream
    Then the caller has a cut answer of <events> events within <ms> ms, and the rest was asked for <times> times

    Examples:
      | sent   | rest                       | ms    | events | times |
      | all    | refuses it                 | 9000  | 2      | 5     |
      | a part | refuses it                 | 9000  | 1      | 5     |
      | all    | is silent                  | 11000 | 2      | 2     |
      | a part | is silent                  | 11000 | 1      | 2     |
      | a part | crashes at once            | 9000  | 1      | 2     |
      | a part | rejects it                 | 9000  | 1      | 5     |
      | a part | is leaving                 | 9000  | 1      | 0     |
      | a part | is beyond the retry budget | 9000  | 1      | 0     |

  Scenario: Another server sends the rest of a resumable stream whose own server has crashed
    Given a server that sends a part of an answer without a length
    And a server that crashes at once when it is asked for the rest
    And then it answers reports
    And another server that marks the ends of its answers
    When a caller asks for a resumable stream
    Then the caller has a whole answer of 2 events within 200 ms, and the rest was asked for 2 times

  # Guards against a resumed stream that looks whole because its server has ended it before the first further event.
  Scenario: The rest of a stream that its caller resumes comes from the server that lives on
    Given a server that sends no event of an answer without a length
    And a server that marks its end when it is asked for the rest
    And then it answers reports
    When a caller resumes a stream after event 1
    Then the caller has a whole answer of 1 events within 100 ms, and the rest was asked for 1 times

  Scenario: A stream that its caller resumes is not whole if its server can't be asked for the rest
    Given a server that sends no event of an answer without a length
    And a server that crashes at once when it is asked for the rest
    And then it answers reports
    When a caller resumes a stream after event 1
    Then after 9000 ms the caller has status 502
