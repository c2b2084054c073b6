Feature: Limits of customers over the whole fleet
  Guards against more requests of a customer than its limit allows, summed over all daemons, in touch
  or not, and against refusals of what is within the limit.

  # Virtual time: 85 customers with 1.6 times their usual calls as limit, uneven over the daemons and in
  # clumps; "hot" ones send five times as much for 7 s. The windows are those of 5 s, each against
  # (rate x 5 s + burst) x 1.1 + 20.
  Scenario Outline: <daemons> daemons, <event>: <guards against>
    When the bench plays "<event>" with <daemons> daemons
    Then no window has more than <window> of what is allowed, and <due> of what is due passes

    Examples:
      | guards against                                 | daemons | event                | window | due  |
      | refusals without a reason                      | 10      | calm                 | 1.0    | 0.97 |
      | a limit that each daemon applies on its own    | 10      | hot                  | 1.0    | 0.97 |
      | a second home that admits the limit once more  | 10      | hot with a third cut off   | 1.0    | 0.95 |
      | a home whose memory is lost                    | 10      | hot with the home killed     | 1.0    | 0.97 |
      | a home that is silent                          | 10      | hot with the home frozen     | 1.0    | 0.95 |
      | refusals while the fleet starts again          | 10      | calm with half restarted | 1.0    | 0.97 |
      | refusals where each daemon sees few calls      | 85      | calm                 | 1.0    | 0.97 |
      | calls that are admitted before the home knows  | 85      | hot                  | 1.0    | 0.97 |
      | a home that counts daemons which it has lost   | 85      | hot with a third cut off   | 1.0    | 0.97 |

  Scenario: any order of cuts, kills, pauses, lost messages and changes of the limit
    Guards against a way around the limit that no table names, and against a fleet that stays limited.
    Then 60 runs of seed 39 keep every window of a hot customer within its limit

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

  Scenario: a report that arrives before the home knows any other daemon is answered
    Guards against a home that fails at its start.
    Then a home that knows no daemons answers the first report of "d1"

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
