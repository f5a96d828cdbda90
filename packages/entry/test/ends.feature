@ends
Feature: Questions to servers and hosts after a connection has ended in order

  # Guards against a killed server, or another one in its place, that counts as the one that ended an answer.
  Scenario Outline: What a report tells of a server process
    When the process started at 7 is asked for its report, and <outcome>
    Then it counts as <state>

    Examples:
      | outcome                                        | state       |
      | reports that it was started at 7               | alive       |
      | reports that it was started at 8               | ended       |
      | answers with another status                    | alive       |
      | another server answers                         | ended       |
      | no connection can be opened                    | unreachable |
      | the connection is cut before an answer         | unknown     |
      | nothing may be sent to it                      | unknown     |

  # Guards against a host that was killed and has started again, and counts as the one that ended a connection.
  Scenario Outline: What the uptime tells of a host
    When a host that opened a connection 5000 ms ago <answers> when asked for its uptime
    Then it <has> passed the connection on until its end

    Examples:
      | answers                              | has     |
      | tells 5001 ms                        | has     |
      | tells 4999 ms                        | has not |
      | answers like a build without uptimes | has not |
      | does not answer                      | has not |
