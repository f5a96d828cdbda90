@catalogue
Feature: Route table and server directory

  Scenario Outline: The route of the host with the longest matching prefix is selected
    Given routes "a.example/ a.example/x/ a.example/x/y/ b.example/x/"
    Then a request to "<host>" for "<path>" takes the route "<route>"

    Examples:
      | host      | path      | route         |
      | a.example | /         | a.example/    |
      | a.example | /x/1      | a.example/x/  |
      | A.EXAMPLE | /x/y/z    | a.example/x/y/|
      | a.example | /xy/1     | a.example/    |
      | b.example | /x/1      | b.example/x/  |
      | b.example | /y/1      |               |
      | c.example | /x/1      |               |

  Scenario Outline: Newer entries replace older ones, and entries missing after an outage are kept for a time
    Given a directory of servers "s1@10 s2@20"
    When the list <change>
    Then the directory holds "<servers>"

    Examples:
      | change                                             | servers     |
      | shows "s1@10 s2@20 s3@30"                          | s1@10 s2@20 s3@30 |
      | shows "s1@10"                                      | s1@10       |
      | shows "s1@11 s2@20"                                | s1@11 s2@20 |
      | shows "s1@9 s2@20"                                 | s1@10 s2@20 |
      | is back after an outage and shows "s1@10"          | s1@10 s2@20 |
      | is back after an outage and shows "s1@10" for 3 s  | s1@10       |

  Scenario Outline: A server that has told that it is leaving stays so until it starts anew
    Given a directory of servers "s1@10 s2@20"
    When server "<told>" is known to be leaving
    And the list <change>
    Then the leaving servers are "<leaving>"

    Examples:
      | told  | change                                    | leaving |
      | s1@10 | shows "s1@10 s2@20"                       | s1@10   |
      | s1@10 | shows "s2@20"                             |         |
      | s1@10 | shows "s1@11 s2@20"                       |         |
      | s1@10 | shows "s1@9 s2@20"                        | s1@10   |
      | s1@12 | shows "s1@10 s2@20"                       | s1@10   |
      | s3@30 | shows "s1@10 s3@30"                       | s3@30   |
      | s1@10 | is back after an outage and shows "s2@20" | s1@10   |

  # Guards against a mark that is lost with an update, an outage or a restoration of the list.
  Scenario Outline: The servers of an evacuated failure domain are marked until the evacuation ends
    Given a directory of servers "s1@10 s2@20 s3@30/d2"
    When the failure domains "<domains>" are evacuated
    And the list <change>
    Then the evacuated servers are "<evacuated>"
    When the failure domains "" are evacuated
    Then the evacuated servers are ""

    Examples:
      | domains | change                                             | evacuated               |
      | d2      | shows "s1@10 s2@20 s3@30/d2"                       | s3@30                   |
      | d1 d2   | shows "s1@10 s2@20 s3@30/d2"                       | s1@10 s2@20 s3@30       |
      | d3      | shows "s1@10 s4@40/d3"                             | s4@40                   |
      | d2      | shows "s1@10 s3@31/d2"                             | s3@31                   |
      | d2      | shows "s3@30/d1"                                   |                         |
      | d2      | is back after an outage and shows "s1@10"          | s3@30                   |
      | d2      | comes back from an older copy and shows "s1@10"    | s3@30                   |
      | d1      | comes back from an older copy and shows "s1@9"     | s1@10 s2@20             |
