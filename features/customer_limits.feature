Feature: Limits of customers over the whole fleet
  Guards against more requests of a customer than its limit allows, summed over all daemons, in touch
  or not, and against refusals of what is within the limit.

  # Virtual time: 85 customers with 1.6 times their usual calls as limit, uneven over the daemons and in
  # clumps; "hot" ones send five times as much for 7 s. The windows are those of 5 s, each against
  # (rate x 5 s + burst) x 1.1 + 20.
  Scenario Outline: <daemons> daemons, <event>: <guards against>
    When the bench plays "<event>" with <daemons> daemons and the seed <seed>
    Then no window has more than <window> of what is allowed, and <due> of what is due passes

    Examples:
      | guards against                                 | daemons | event                | window | due  | seed |
      | refusals without a reason                      | 10      | calm                 | 1.0    | 0.97 | 7    |
      | a limit that each daemon applies on its own    | 10      | hot                  | 1.0    | 0.97 | 7    |
      | a second home that admits the limit once more  | 10      | hot with a third cut off   | 1.0    | 0.95 | 7    |
      | a home whose memory is lost                    | 10      | hot with the home killed     | 1.0    | 0.97 | 7    |
      | a home that is silent                          | 10      | hot with the home frozen     | 1.0    | 0.95 | 7    |
      | refusals while the fleet starts again          | 10      | calm with half restarted | 1.0    | 0.97 | 7    |
      | refusals where each daemon sees few calls      | 85      | calm                 | 1.0    | 0.97 | 7    |
      | calls that are admitted before their report    | 85      | hot                  | 1.0    | 0.97 | 7    |
      | a home that counts daemons which it has lost   | 85      | hot with a third cut off   | 1.0    | 0.97 | 7    |
      | a home that gives out the parts of newcomers   | 10      | hot with half restarted | 1.0 | 0.95 | 203  |

  Scenario: any order of cuts, kills, pauses, lost messages and changes of the limit
    Guards against a way around the limit that no table names, and against a fleet that stays limited.
    Then 60 runs of seed 39 keep every window of a hot customer within its limit

  Scenario: faults at the same moment or one after the other, and limits that rise and fall
    Guards against parts of the limit that add up to more while homes and daemons disagree.
    Then 100 stateful runs of 20 steps keep every window within the limit of its time

  # From half of its limit, the customer's calls rise to four times the limit.
  Scenario Outline: a surge that begins together with a fault: <guards against>
    When a customer's calls surge <after> ms after "<fault>" hits <share> of the fleet, with seed <seed>
    Then no window of the customer has more than is allowed

    Examples:
      | guards against                                       | fault       | share | after | seed |
      | parts that are cut off and admit as much as lately   | cut         | 0.5   | 0     | 7    |
      | a large part that is cut off                         | cut         | 0.69  | 0     | 1    |
      | a part that is cut off a moment before               | cut         | 0.5   | 500   | 7    |
      | daemons that admit the surge while their home pauses | freeze home | 0.7   | 0     | 7    |
      | daemons that admit the surge while they have no home | kill home   | 0.5   | 0     | 7    |

  # A customer's calls a second to each of 10 daemons; "alone" ones reach no other daemon.
  Scenario Outline: what passes in 20 s: <guards against>
    When a customer with the limit <rate> and burst <burst> sends <calls> calls a second to each daemon, <alone> of them alone
    Then between <least> and <most> of its calls are admitted from the 5th second on

    Examples:
      | guards against                             | rate | burst | calls | alone | least | most |
      | a customer within its limit that is refused | 50   | 10    | 4     | 0     | 590   | 610  |
      | a limit that is not reached                | 50   | 10    | 20    | 0     | 735   | 830  |
      | parts of the limit that add up to more     | 50   | 10    | 20    | 10    | 600   | 775  |
      | a daemon alone that takes the whole limit  | 50   | 10    | 20    | 1     | 700   | 830  |
      | a customer without a limit that is limited | 0    | 0     | 20    | 10    | 3000  | 3000 |

  # NUMBER:CUSTOMER=CALLS is a report of "d1" with the calls since it chose the home, "wait" 2 s in which
  # other daemons report.
  Scenario Outline: a home counts the calls of a daemon once: <guards against>
    When a home gets the reports "<reports>" of a daemon
    Then it has counted <ann> calls of "ann" and <bob> of "bob"

    Examples:
      | guards against                                          | reports                           | ann | bob |
      | calls that are counted in no report                     | 1:ann=5,bob=2 2:ann=9             | 9   | 2   |
      | a report that arrives twice                             | 1:ann=5 2:ann=9 2:ann=9           | 9   | 0   |
      | a customer whose calls are counted again after silence  | 1:ann=5,bob=7 wait 4:ann=9 5:bob=8 | 5  | 8   |
      | calls before the home's start that count for a customer | 4:ann=9 5:ann=10,bob=50 6:bob=51  | 1   | 1   |
      | calls after a daemon's restart that are not counted     | 1:ann=5 wait 1:ann=3              | 8   | 0   |

  Scenario: a daemon repeats a report that is not answered
    Guards against a daemon that leaves a home because a few messages are lost.
    When the home of a daemon is silent
    Then the daemon sends it at least 8 reports before it gives it up

  Scenario: a home to which no other daemon reports takes the home of the others
    Guards against a customer that is held to one daemon's part of its limit after a pause of the home.
    Given a daemon to which the others of its fleet report
    When the others choose another home
    Then the daemon reports to another home until they report to it again

  Scenario Outline: the demand of a customer <after> ms after a home has begun
    Guards against a surge that is admitted because the time before the home's start counts as calm.
    When a home gets reports of 100 calls a second for <after> ms
    Then it measures between 75 and 125 calls a second

    Examples:
      | after |
      | 200   |
      | 500   |
      | 3000  |

  Scenario Outline: a customer within its limit whose calls come in at <daemons> daemons
    Guards against reports of many calls that are taken for a surge.
    When a home gets reports of 100 calls a second from <daemons> daemons for 10 s, with a limit of 160
    Then no answer limits the customer

    Examples:
      | daemons |
      | 1       |
      | 2       |
      | 20      |

  # Each of 20 daemons reports four times a second; "ann" may send 100 calls a second and a burst of 25.
  Scenario Outline: a home tells all daemons of a surge before they report: <guards against>
    When the daemons report <before> calls a second of "ann" for 3 s and <after> for 1 s
    Then the home answers <count> daemons that did not report, none more than 3 times

    Examples:
      | guards against                                        | before | after | count |
      | a surge that passes until each daemon has reported    | 80     | 600   | 15 to 20 |
      | messages for a customer within its limit              | 80     | 90    | 0 to 0   |
      | messages for each report while a customer stays limited | 600  | 600   | 0 to 0   |

  Scenario: a report that arrives before the directory has any other daemon is answered
    Guards against a home that fails at its start.
    Then a home with an empty directory answers the first report of "d1"

  Scenario: refusals say when to come back, and the upstream does not see them
    Guards against 429 without a time, refused calls that run, and limits for calls without a customer.
    Given a platform fleet in which "ann" may send 1 call a second and a burst of 2
    When callers of all daemons send 60 calls of "ann", 5 of "bob" and 5 without a key
    Then between 1 and 30 calls of "ann" are served, and the upstreams ran just these
    And every other call of "ann" got 429 with a time to come back between 0.05 and 2 s
    And all calls of "bob" and those without a key are served
    And a daemon has logged "call_refused" with "reason=customer-limit customer=ann"
    And the home has logged "customer_limited" with "customer=ann"
    And the client's customers at the metrics addresses show the refusals of "ann" and no "bob"
    And the metrics of a daemon have 'agatecross_customer_calls_per_second{calls="offered",customer="ann"}'
