Feature: Contracts of the platform's interfaces
  Any adapter to the platform keeps these. Another one is put under the same table by adding it to
  `adapters.ts` and to the examples.

  Scenario Outline: A conditional write takes effect only at the expected version
    Given the object store adapter "<adapter>"
    Then an object can be created once
    And it can be updated only at its newest version
    And it can be removed only at its newest version
    And a removed object reads as absent

    Examples:
      | adapter |
      | http    |
      | platform    |

  Scenario Outline: A watch brings every change after its version, in order
    Given the object store adapter "<adapter>"
    When an object is created, updated and removed
    Then a watch from before the first change brings all three in order
    And a watch from the newest version waits and brings the next change
    And a watch without changes ends empty after its time

    Examples:
      | adapter |
      | http    |
      | platform    |

  Scenario Outline: A call without an answer says what is known of its effect
    Given the object store adapter "<adapter>"
    When the store <fault> a write
    Then the write fails and its effect is "<effect>"
    And the object was written: <written>

    Examples:
      | adapter | fault                  | effect  | written |
      | http    | refuses connections on | none    | no      |
      | platform    | refuses connections on | none    | no      |
      | http    | answers 503 to         | unknown | no      |
      | platform    | answers 503 to         | none | no      |
      | http    | loses                  | unknown | no      |
      | platform    | loses                  | unknown | no      |
      | http    | loses the answer to    | unknown | yes     |
      | platform    | loses the answer to    | unknown | yes     |
      | http    | is too slow for        | unknown | yes     |
      | platform    | is too slow for        | unknown | yes     |

  Scenario Outline: A write is settled through lost answers
    Given the object store adapter "<adapter>"
    And another writer <contends>
    When the first <lost> tries of a settled write lose their <what>
    Then the write is settled as "<outcome>" and the object holds the value of "<holder>"

    Examples:
      | adapter | contends      | lost | what    | outcome  | holder |
      | http    | does nothing  | 0    | answer  | written  | us     |
      | platform    | does nothing  | 0    | answer  | written  | us     |
      | http    | does nothing  | 1    | answer  | written  | us     |
      | platform    | does nothing  | 1    | answer  | written  | us     |
      | http    | does nothing  | 3    | answer  | written  | us     |
      | platform    | does nothing  | 3    | answer  | written  | us     |
      | http    | does nothing  | 2    | request | written  | us     |
      | platform    | does nothing  | 2    | request | written  | us     |
      | http    | wrote before  | 0    | answer  | conflict | other  |
      | platform    | wrote before  | 0    | answer  | conflict | other  |
      | http    | wrote before  | 2    | answer  | conflict | other  |
      | platform    | wrote before  | 2    | answer  | conflict | other  |
      | http    | wrote before  | 2    | request | conflict | other  |
      | platform    | wrote before  | 2    | request | conflict | other  |

  Scenario Outline: A write that cannot be settled says so
    Given the object store adapter "<adapter>"
    When every try of a settled write <fails>
    Then the write is settled as "<outcome>" after its time

    Examples:
      | adapter | fails               | outcome     |
      | http    | loses its answer    | unknown     |
      | platform    | loses its answer    | unknown     |
      | http    | loses its request   | unknown     |
      | platform    | loses its request   | unknown     |
      | http    | cannot connect      | not-written |
      | platform    | cannot connect      | not-written |

  Scenario Outline: The host list shows hosts with their addresses and states
    Given the host list adapter "<adapter>"
    Then it shows a live and a leaving host
    And it fails with a store error while it is away

    Examples:
      | adapter |
      | http    |

  Scenario Outline: The weight store shows its load and its limits
    Given the weight store adapter "<adapter>"
    Then it shows no transfer, and one while an engine loads

    Examples:
      | adapter |
      | http    |
