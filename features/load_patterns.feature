Feature: Load at its worst, replayed against the queue of one upstream
  Guards against a policy of waiting and refusal that serves fewer calls within their objective. Each
  row replays 4 seeded minutes of arrivals in virtual time, against the queue and against a former
  policy, which took one mean cost for the calls of all routes.

  # A route is NAME SHARE COST OBJECTIVE DEADLINE RANK, times in ms. The load is a share of what the
  # slots can do; a wave swings by half around it. Costs vary, and 3 in 100 are seven times as long.
  Scenario Outline: <pattern>
    When calls of "<routes>" arrive at <slots> slots with a load of <load>
    Then the share served within the objective is at least <gain> above that of the former policy
    And no route is served less than half as often as all together

    Examples:
      | pattern                                  | routes                                             | slots | load     | gain  |
      | a crest of long work and its short calls | view .6 940 3014 8037 2; status .4 110 406 1219 1  | 7     | 1.2      | 0.08  |
      | waves of long work and its short calls   | view .6 940 3014 8037 2; status .4 110 406 1219 1  | 7     | 1.0 wave | 0.08  |
      | long and short work of one rank          | view .6 940 3014 8037 2; lookup .4 110 406 1219 2  | 7     | 1.2      | 0.08  |
      | short objectives on a small site         | view .6 130 500 1200 2; status .4 15 60 200 1      | 15    | 1.0 wave | 0.05  |
      | one kind of work only                    | lookup 1 50 250 600 2                              | 7     | 1.2      | -0.01 |
