@day
Feature: A day with more models than fit, and a weight store that serves few loads at once
  Servers of 83 GB hold two to five of 274 models; each hold some more on their disks. 248 models are asked
  for every 7 s on average, and 26 all the time. Seven servers crash at 8.6 s, five are replaced at 16 s and nine at
  26 s, and there is no leader from 18.3 to 19.2 s.

  # Guards against models that callers ask for through the day and that are never served (SHORT).
  Scenario Outline: Rarely used models without a copy
    Given a weight store that serves 2 loads at once
    And 63 servers with 274 models, of which <uncopied> have no copy
    When no request comes for 16 s
    And all models are asked for during a day of 48 s with crashes, replacements and a change of the leader
    Then at most 1 and 10 in 100 of the models that were asked for 4 times over 8 s were never served

    Examples:
      | uncopied |
      | 19       |
      | 36       |
