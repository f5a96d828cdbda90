@fleet
Feature: Links and summaries in fleets of different sizes
  Hosts are named by failure domain and number; "strong" hosts have four times the cores.

  Scenario Outline: Number of links and hubs
    Given a fleet of <hosts> hosts in <domains> failure domains with <strong> strong hosts in each
    Then each host that is not a hub keeps at most <links> links, a hub one to each other hub
    And there are <hubs> hubs, in <spread> failure domains
    And all hosts agree on the hubs

    Examples: full mesh
      | hosts | domains | strong | links | hubs | spread |
      | 1     | 1       | 0      | 0     | 1    | 1      |
      | 9     | 3       | 0      | 8     | 9    | 3      |
      | 16    | 4       | 1      | 15    | 16   | 4      |

    Examples: hubs are linked to each other, the other hosts to two hubs
      | hosts | domains | strong | links | hubs | spread |
      | 17    | 1       | 0      | 2     | 3    | 1      |
      | 62    | 3       | 2      | 2     | 4    | 3      |
      | 60    | 4       | 0      | 2     | 4    | 4      |
      | 300   | 19      | 0      | 2     | 19   | 19     |
      | 2800  | 19      | 3      | 2     | 27   | 19     |

  Scenario: The strongest hosts are hubs
    Given a fleet of 62 hosts in 3 failure domains with 1 strong hosts in each
    Then the hubs are "a-1, b-1, c-1, a-10"

  Scenario Outline: Members are spread evenly over the hubs of their failure domain
    Given a fleet of <hosts> hosts in <domains> failure domains with 3 strong hosts in each
    Then the first choice of every host that is not a hub is a hub in its own failure domain
    And no hub is the first choice of more than <members> hosts

    Examples:
      | hosts | domains | members |
      | 62    | 3       | 20      |
      | 195   | 5       | 40      |
      | 2800  | 19      | 160     |

  Scenario: An unreachable hub is replaced, and becomes a hub again when it is reachable
    Given a fleet of 62 hosts in 3 failure domains with 1 strong hosts in each
    And the hub "a-10" is linked with its hubs
    When its link to "a-1" is lost
    Then after 1000 ms its hubs are "a-1, b-1, c-1, a-10"
    And after 1000 ms its hubs are "b-1, c-1, a-10, b-10"
    And it still connects to "a-1"
    When its link to "a-1" is back
    Then after 0 ms its hubs are "a-1, b-1, c-1, a-10"

  Scenario: A host takes the place of a hub that is unreachable for the other hubs
    Given a fleet of 62 hosts in 3 failure domains with 1 strong hosts in each
    And the host "b-10" is linked with its hubs
    When its primary hub reports that "a-1" is unreachable
    Then it is a hub itself and connects to "a-1, b-1, c-1, a-10"
    When its primary hub reports that nothing is unreachable
    Then it is not a hub

  Scenario Outline: A host writes its record again when the store has lost it
    Given a host whose record is listed with those of <others> others
    When the store comes back without <lost>
    Then after 6 s the store holds the record of the host

    Examples:
      | others | lost                  |
      | 3      | the record of the host |
      | 3      | any record            |
      | 0      | any record            |

  Scenario: Incremental sums of running requests equal a recount
    When 200 hosts change their running requests 2000 times in an order of seed 71
    Then the sums equal a recount

  Scenario Outline: Tokens taken by other hosts are counted once, whichever hub reports them
    Given a host whose primary hub is hub 1 and that receives summaries of hub 2
    When the others have taken 300 tokens, as both hubs report
    And <happens>
    And the others have taken 500 tokens more, as both hubs report
    Then the host has counted 800 tokens

    Examples:
      | happens                                                |
      | nothing happens                                        |
      | the primary hub changes to hub 2                       |
      | hub 1 lags behind and the primary hub changes to hub 2 |
      | hub 1 is restarted                                     |
      | hub 2 is restarted and becomes the primary hub         |

  Scenario: Returned tokens are credited through hubs as well
    Given a host whose primary hub is hub 1 and that receives summaries of hub 2
    When the others have taken 300 tokens, as both hubs report
    And the others have taken -100 tokens more, as both hubs report
    Then the host has counted 200 tokens

  Scenario: A hub's totals grow only by what hosts take, also when they begin to report or restart
    Given a hub to which host "h" reports 400 taken tokens for the first time
    Then the hub reports 0 tokens to the others and 0 tokens to "h"
    When host "h" reports 430 taken tokens
    Then the hub reports 30 tokens to the others and 0 tokens to "h"
    When host "h" is restarted and reports 50 taken tokens
    Then the hub reports 80 tokens to the others and 0 tokens to "h"
    When host "k" reports 700 taken tokens
    Then the hub reports 80 tokens to the others and 0 tokens to "h"
