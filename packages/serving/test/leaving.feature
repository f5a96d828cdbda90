@serving-leaving
Feature: Requests that wait while their server leaves
  One server alone holds a model. It serves for 2 s after the store has accepted that it leaves, and then exits.

  # Guards against requests that wait for a server and are sent to it after it has left.
  Scenario Outline: A request that has waited is not sent to a server that has left
    Given requests that wait for <what>, up to <wait> ms
    When requests come in from <from> to <to> ms after the server <departs>
    Then no request reaches the server later than 2000 ms after that
    And the requests are <end>

    Examples:
      | what              | wait | from | to  | departs                  | end               |
      | an adapter        | 2000 | 0    | 950 | reports that it leaves   | refused           |
      | an adapter        | 1300 | -900 | 950 | reports that it leaves   | served or refused |
      | an adapter        | 2000 | -500 | 950 | is removed from the list | refused           |
      | its limit         | 1500 | -900 | 950 | reports that it leaves   | served or refused |
      | its limit         | 1500 | -900 | 950 | is removed from the list | served or refused |
      | a new connection  | 1600 | -900 | 950 | reports that it leaves   | served or refused |
      | a new connection  | 1600 | -500 | 950 | is removed from the list | refused           |
      | nothing           | 0    | 0    | 950 | reports that it leaves   | served            |

  # Guards against requests that reach a server after it has left, as its report came late to their host.
  Scenario Outline: The report that a server leaves reaches the host late
    Given requests that wait for nothing, up to 0 ms
    And the host learns of the departure <late> ms late, with an age of <age> ms
    When requests come in from 0 to 3000 ms after the server reports that it leaves
    Then no request reaches the server later than 2000 ms after that
    And the requests are served or refused

    Examples:
      | late | age  |
      | 0    | 0    |
      | 600  | 900  |
      | 1800 | 1900 |

  # Guards against requests that are refused, or sent to a server that leaves, while another one could run them.
  Scenario: A request whose server leaves during a wait goes to another one
    Given requests that wait for an adapter, up to 1300 ms
    And another server that holds the model from 500 ms after the departure
    When requests come in from -500 to 950 ms after the server reports that it leaves
    Then no request reaches the server later than 2000 ms after that
    And the requests are served
