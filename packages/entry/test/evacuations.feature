@evacuations
Feature: Hosts obey the evacuations of failure domains
  Versions are written as era/revision. Evacuations that a restored store lacks are kept for 60 s.

  # Guards against a host that sends to evacuated servers because the store has forgotten the evacuation.
  Scenario Outline: An evacuation ends when it is removed, not when the store forgets it
    Given a host that has read the evacuations "<read>" in era 1
    When this happens to its view of the evacuations: <what>
    Then it obeys the evacuations "<obeyed>"

    Examples:
      | read        | what                                         | obeyed |
      |             | 1 s                                          |        |
      | a=1/5       | 600 s                                        | a      |
      | a=1/5 b=1/6 | 1 s                                          | a b    |
      | a=1/5 b=1/6 | era 1 shows b=1/6                            | b      |
      | a=1/5       | era 1 shows nothing                          |        |
      | a=1/5       | era 2 begins, 600 s                          | a      |
      | a=1/5       | era 2 shows nothing                          | a      |
      | a=1/5       | era 2 shows a=2/5                            | a      |
      | a=1/5       | era 2 shows nothing, 59 s                    | a      |
      | a=1/5       | era 2 shows nothing, 61 s                    |        |
      | a=1/5       | era 2 shows nothing, era 2 shows a=2/9, 61 s | a      |
      | a=1/5       | era 2 shows nothing, era 2 shows a=2/9, era 2 shows nothing | |
      | a=1/5       | era 2 shows nothing, era 3 shows nothing     | a      |
      | a=1/5       | era 2 shows a=2/5, era 3 shows nothing       | a      |
      |             | era 2 shows c=2/3                            | c      |

  # Guards against a host that starts after the restoration and cannot know the evacuation from the store.
  Scenario Outline: A host tells others of evacuations that the restored store lacks
    Given a host that has read the evacuations "<read>" in era 2
    When another host tells that the store has lost "<told>" <age> s ago
    And this happens to its view of the evacuations: <passed> s
    Then it obeys the evacuations "<obeyed>"
    And it tells a new host of "<lost>"

    Examples:
      | read  | told | age | passed | obeyed | lost |
      |       | a    | 0   | 59     | a      | a    |
      |       | a    | 50  | 9      | a      | a    |
      |       | a    | 50  | 11     |        |      |
      |       | a    | 61  | 0      |        |      |
      | a=2/5 | a    | 0   | 61     | a      |      |
      | b=2/5 | a    | 0   | 1      | a b    | a    |

  Scenario: Nothing is known before the store or another host has answered
    Given a host that has just started
    Then it does not know the evacuations
    When this happens to its view of the evacuations: era 1 shows nothing
    Then it knows the evacuations

  # Guards against an evacuation that is not obeyed because its object is not as it should be.
  Scenario Outline: Odd evacuations are obeyed as far as their name allows, counted and logged once
    Given a host whose servers are in the failure domains "a b"
    When it reads the evacuation "<name>" with the value <value> twice
    Then it obeys the evacuations "<name>"
    And <count> odd evacuations were counted and logged

    Examples:
      | name | value                | count |
      | a    | {}                   | 0     |
      | a    | {"until":"tomorrow"} | 0     |
      | c    | {}                   | 1     |
      | A    | {}                   | 1     |
      | a    | null                 | 1     |
      | a    | undefined            | 1     |
      | a    | "now"                | 1     |
      | a    | []                   | 1     |
      | c    | 5                    | 2     |
