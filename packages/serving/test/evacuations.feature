@serving-evacuations
Feature: Requests and evacuated failure domains
  A service with four servers, two in each of the failure domains "a" and "b".

  # Guards against requests that have selected a server, or wait for one, when its evacuation begins.
  Scenario Outline: Nothing is sent to an evacuated server after its evacuation has begun
    Given the servers hold the model: <held>
    And a host of this service that <does>
    When requests come in for 2 s and "<domains>" is evacuated in the middle
    Then no evacuated server receives a request
    And the requests after the evacuation are <end>

    Examples:
      | held   | does                                     | domains | end                                  |
      | all    | serves requests                          | a       | served                               |
      | all    | serves requests that need an adapter     | a       | served                               |
      | all    | serves requests that its servers reject  | a       | refused                              |
      | all    | has servers with limits                  | a       | served or refused                    |
      | all    | serves requests                          | a b     | refused at once as evacuated         |
      | all    | serves requests without a model          | a       | served                               |
      | all    | serves requests without a model          | a b     | refused at once as evacuated         |
      | domain a | serves requests                        | a       | served once another server holds it  |
      | domain a | serves requests                        | a b     | refused at once as evacuated         |
      | none   | serves requests                          | a b     | refused at once as evacuated         |

  Scenario: Requests that run at an evacuated server finish by themselves
    Given the servers hold the model: domain a
    And a host of this service that serves requests
    When requests come in for 2 s and "a" is evacuated in the middle
    Then the requests that had been sent before the evacuation are served

  # Guards against leaving servers of an evacuated failure domain that serve as a last resort.
  Scenario: A leaving server is no last resort if it is evacuated
    Given the servers hold the model: domain a
    And a host of this service that serves requests
    When requests come in for 2 s and "a" is leaving and evacuated in the middle
    Then no evacuated server receives a request
