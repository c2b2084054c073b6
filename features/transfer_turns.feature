Feature: Long requests take turns on the link of the daemon that runs them
  Guards against short calls that wait behind all uploads on their way to a daemon, and against uploads
  that are lost, never invited or run late because of their turns.

  # The link has 5 Mbit/s, so a request of 52,083 bytes takes 100 ms of the five sixths for long ones.
  # "a 52083 500/900" announces request a with 500 ms to its objective and 900 ms to its deadline; end a:
  # it has arrived or is cancelled; +100 is time; tick is the timer. ID+ is an invitation, ID- a refusal.
  Scenario Outline: turns: <guards against>
    When on a link of 5 Mbit/s these requests are announced: "<events>"
    Then the announcements are answered "<answers>"

    Examples:
      | guards against                                  | events                                                                            | answers     |
      | a request that waits for a free link            | a 52083 500/900                                                        | a+       |
      | two requests at once                            | a 52083 500/900; b 52083 500/900; +101; tick                           | a+       |
      | a turn that is not passed on                    | a 52083 500/900; b 52083 500/900; +50; end a; end b                    | a+ b+    |
      | the order of arrival before the objective       | a 52083 500/900; b 5000 900/900; c 5000 400/900; end a                 | a+ c+    |
      | a request that can only arrive late             | a 52083 500/900; b 52083 400/900; c 52083 420/900                      | a+ c-    |
      | an arrival that leaves time for the run         | a 52083 500/900; +10; b 52083 300/900                                  | a+       |
      | an arrival that leaves too little for the run   | a 52083 500/900; +10; b 52083 290/900; c 52083 390/900                 | a+ c-    |
      | a refusal while the link is free                | a 52083 10/900                                                         | a+       |
      | a cancelled request that is invited             | a 52083 500/900; b 5000 500/900; c 5000 500/900; end b; end a          | a+ c+    |
      | a slow sender that keeps the turn               | a 52083 500/900; b 5000 500/900; +240; tick; +11; tick                 | a+ b+    |
      | an overdue request that ends another one's turn | a 52083 500/900; b 52083 500/900; c 5000 700/900; +260; tick; end a    | a+ b+    |
      | a request that waits beyond its deadline        | a 52083 500/900; b 5000 350/99; +101; tick                             | a+ b-    |

  Scenario Outline: <link> Mbit/s: requests of more than <bytes> bytes are announced
    Then on a link of <link> Mbit/s the announced size is <bytes>

    Examples: guards against a round trip for a request that would be through sooner
      | link | bytes   |
      | 0    | 0       |
      | 5    | 12500   |
      | 1000 | 2500000 |

  # Before: every sender sends at once. The round trip is that of a data centre, or of two regions. Senders
  # have links of the same rate; short calls of 1,500 bytes come between. Bounds: a short call, whose
  # objective may be 200 ms, must not lose a quarter of it on the way; uploads, with an objective of
  # 800 ms, must not arrive later for it.
  Scenario Outline: <uploads> uploads and <short> short calls a second on <link> Mbit/s, <trip> ms away
    When <uploads> uploads a second of 60000 bytes, a round trip of <trip> ms away, and <short> short calls share a link of <link> Mbit/s
    Then nine in ten short calls wait at least <before> ms before, and at most 50 ms now
    And uploads arrive within 800 ms at most 0.02 less often

    Examples: guards against a queue of uploads before the short calls
      | link | uploads | short | trip | before |
      | 5    | 6       | 60    | 2    | 60     |
      | 5    | 8       | 60    | 2    | 100    |
      | 5    | 7       | 60    | 17   | 100    |
      | 10   | 16      | 60    | 2    | 60     |
      | 5    | 6       | 100   | 2    | 100    |
      | 5    | 8       | 100   | 2    | 100    |

  # A request is on its way to both upstreams' daemons, overdue after 150 ms, while a request of 60,000 bytes waits at d1.
  Scenario Outline: fleet: <guards against>
    Given a platform fleet on links of 10 Mbit/s
    When a caller of d1 sends "<line>" with 60000 bytes while a turn is taken, and <event>
    Then the caller's status is <status> and the upstreams ran <runs> requests with 60000 bytes
    And no announcement is left

    Examples:
      | guards against                              | line         | event                | status | runs |
      | a request that is never invited             | POST /once/1 | nothing happens      | 200    | 1    |
      | a turn that is not passed on at once        | POST /once/1 | it arrives            | 200    | 1    |
      | a request that is lost with its link        | POST /once/1 | the links of d1 break | 200   | 1    |
      | a request that runs though its caller left  | POST /once/1 | the caller leaves    | none   | 0    |
      | a request said to have run that was not sent | POST /once/1 | d0 and d2 are killed | 503   | 0    |

  Scenario: requests of several callers at once
    Guards against a request that is mixed up with another one or left behind.
    Given a platform fleet on links of 10 Mbit/s
    When callers of d1 send 6 requests of 60000 bytes at once
    Then all are answered 200, each after it was announced, and ran once
    And no announcement is left

  Scenario: a request of a size that needs no announcement
    Guards against round trips for short requests.
    Given a platform fleet on links of 10 Mbit/s
    When callers of d1 send 2 requests of 20000 bytes at once
    Then all are answered 200, none after it was announced, and ran once

  Scenario: a peer that announces without end
    Guards against memory that grows with what a peer announces and never sends.
    Given a platform fleet on links of 10 Mbit/s
    When a peer announces 3000 requests to d0 and sends none
    Then d0 holds 1024 announcements and refused 1976
    And a caller of d0 gets 200
