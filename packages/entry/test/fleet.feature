@fleet
Feature: Links of a fleet that grows
  Hosts are named by failure domain and number; "strong" hosts have four times the processor.

  Scenario Outline: Who is linked with whom
    Given a fleet of <hosts> hosts in <domains> failure domains with <strong> strong hosts in each
    Then each host keeps at most <links> links besides the hubs
    And there are <hubs> hubs, in <spread> failure domains
    And all hosts agree on the hubs

    Examples: everybody hears everybody
      | hosts | domains | strong | links | hubs | spread |
      | 1     | 1       | 0      | 0     | 1    | 1      |
      | 9     | 3       | 0      | 8     | 9    | 3      |
      | 16    | 4       | 1      | 15    | 16   | 4      |

    Examples: hubs hear everybody, each of the others only a few
      | hosts | domains | strong | links | hubs | spread |
      | 17    | 1       | 0      | 3     | 3    | 1      |
      | 62    | 3       | 2      | 3     | 3    | 3      |
      | 60    | 4       | 0      | 4     | 4    | 4      |
      | 300   | 19      | 0      | 5     | 5    | 5      |
      | 2800  | 19      | 3      | 5     | 5    | 5      |

  Scenario: The strongest hosts are hubs
    Given a fleet of 62 hosts in 3 failure domains with 1 strong hosts in each
    Then the hubs are "a-1, b-1, c-1"

  Scenario: A hub that is down is replaced, and taken again when it returns
    Given a fleet of 62 hosts in 3 failure domains with 1 strong hosts in each
    And the host "c-9" is linked with its hubs
    When its link to "a-1" is lost
    Then after 1000 ms its hubs are "a-1, b-1, c-1"
    And after 1000 ms its hubs are "b-1, c-1, a-10"
    And it still tries to reach "a-1"
    When its link to "a-1" is back
    Then after 0 ms its hubs are "a-1, b-1, c-1"

  Scenario: Sums follow what each host runs
    When 200 hosts change what they run 2000 times in an order of seed 71
    Then the sums are those of a recount

  Scenario Outline: Quota that others take is counted once, whoever tells it
    Given a host that relies on hub 1 and hears hub 2
    When the others have taken 300 tokens, as both hubs say
    And <happens>
    And the others have taken 500 tokens more, as both hubs say
    Then the host has counted 800 tokens

    Examples:
      | happens                               |
      | nothing happens                       |
      | the host relies on hub 2 from now on  |
      | hub 1 lags behind and hub 2 takes over |
      | hub 1 is restarted                    |
      | hub 2 is restarted and takes over     |

  Scenario: Tokens that are given back are given back through hubs as well
    Given a host that relies on hub 1 and hears hub 2
    When the others have taken 300 tokens, as both hubs say
    And the others have taken -100 tokens more, as both hubs say
    Then the host has counted 200 tokens

  Scenario: What a hub tells about ended processes stays counted
    Given a hub that has heard host "h" take 400 tokens
    When host "h" is restarted and takes 50 tokens
    Then the hub tells 450 tokens to the others and 400 tokens to "h"
