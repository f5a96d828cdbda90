@serving-places
Feature: Requests wait for a place at a server
  A host knows a server with 8 slots. 12 requests of a priority or more urgent are at the server at most,
  others wait on the host; the server runs the most urgent first. Each request takes 500 ms and has 10 s.

  # Guards against urgent requests that wait behind the ones that came earlier.
  Scenario: Urgent requests are sent before those that came earlier
    Given a host that orders requests
    When 30 requests of priority 3 come
    And 5 requests of priority 0 come 100 ms later
    Then 17 requests were sent
    And the requests of priority 0 are among the first 17 that were sent
    When the host runs for 3000 ms
    Then all requests are answered and no place is taken

  # Guards against a change of the deployments that do not share capacity.
  Scenario: Without the option each request is sent at once
    Given a host that does not order requests
    When 30 requests of priority 3 come
    Then 30 requests were sent

  # Guards against places that are lost with attempts which the server rejects.
  Scenario: Rejected requests give back their places
    Given a host that orders requests
    And the server rejects the first 20 requests
    When 12 requests of priority 0 come
    And the host runs for 5000 ms
    Then no place is taken

  # Guards against requests that wait on a host which stops, or whose callers have left.
  Scenario Outline: Waiting requests end when <what>
    Given a host that orders requests
    When 30 requests of priority 0 come
    And <what>
    Then no request waits
    When the host runs for 1000 ms
    Then 12 requests were sent
    And no place is taken

    Examples:
      | what                 |
      | the host stops       |
      | their callers leave  |
