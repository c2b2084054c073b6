Feature: Which data centre a call goes to
  Guards against calls that leave their data centre while it has room, which fills the links between
  data centres, and against calls that are refused or late near by while there is room elsewhere.

  # An offer is NAME LOCALITY WAIT, with "down" if the upstream fails or cannot be reached. A call runs
  # for 100 ms, and `left` is the time to its objective, in ms. A locality that is "full" refused most
  # of the last calls of the route.
  Scenario Outline: <guards against>
    Given the offers "<offers>"
    When a call with <left> ms left has been sent <times> times and may leave: <leave>
    Then it goes to "<chosen>"

    Examples:
      | guards against                                | offers                               | left | times | leave | chosen |
      | leaving while the near one is in time         | a near 180; b region 0               | 500  | 0     | yes   | a      |
      | staying where the answer would be late        | a near 200; b region 0               | 500  | 0     | yes   | b      |
      | the farther of two that are in time           | a near 200; b region 150; c remote 0 | 500  | 0     | yes   | b      |
      | leaving where it is late everywhere           | a near 400; b region 300; c remote 250 | 500 | 0    | yes   | a      |
      | leaving after one refusal                     | a near 0; b region 0                 | 500  | 1     | yes   | a      |
      | a third refusal in a full data centre         | a near 0; b region 0                 | 500  | 2     | yes   | b      |
      | a second refusal in a full data centre        | a near 0 full; b region 0            | 500  | 1     | yes   | b      |
      | a refusal of a full region                    | a near 0; b region 0 full; c remote 0 | 500 | 2     | yes   | c      |
      | no attempt where all are full                 | a near 0 full; b region 0 full       | 500  | 2     | yes   | b      |
      | more bytes in vain than the allowance         | a near 900; b region 0               | 500  | 2     | no    | a      |
      | no answer because the near one is down        | a near 0 down; b region 0            | 500  | 0     | no    | b      |
      | no answer because all near ones were tried    | b region 0                           | 500  | 1     | no    | b      |
      | no attempt without a better upstream          | a near 0 down                        | 500  | 0     | no    | a      |
      | an error without upstreams                    |                                      | 500  | 0     | yes   |        |
      | leaving when the objective has passed         | a near 0; b region 0                 | -50  | 0     | yes   | a      |

  # Before: the rule that adds a penalty for the distance and the size to the share of busy slots.
  # A route is NAME SHARE COST OBJECTIVE DEADLINE RANK KIB. The load is a share of what the slots of
  # all data centres can do; a wave swings by half around it, in each data centre at another time.
  # Answered in time, left and refused are shares of all calls; in vain is the share of the bytes of all calls
  # that other data centres refused. Where there is room near by, one call in twenty may leave.
  Scenario Outline: replay: <guards against>
    When calls of "<routes>" arrive with a load of <load> in data centres of <upstreams> upstreams
    Then the "<figure>" is <before> before and <after> now
    And at most <loss> fewer calls are answered in time than before

    Examples:
      | guards against                              | routes                                               | load     | upstreams | figure  | before        | after        | loss |
      | calls that leave while there is room        | read .9 33 194 646 0 2; upload .1 160 1717 2290 2 60 | 0.6      | 4 4 3 3   | left    | at least 0.05 | at most 0.05 | 0.01 |
      | calls that leave a site with one upstream   | read .7 51 250 600 2 3; order .3 66 300 800 1 2      | 0.5      | 1 1 1 1   | left    | at least 0.05 | at most 0.05 | 0.01 |
      | lateness at a crest beside free upstreams   | read .7 156 738 2800 0 3; order .3 211 970 3300 1 2  | 0.8 wave | 5 5 5 5   | left    | at least 0.1  | at most 0.1  | 0.02 |
      | bytes in vain while all are full            | read .9 33 194 646 0 2; upload .1 160 1717 2290 2 60 | 1.3      | 4 4 3 3   | in vain | at least 0.05 | at most 0.05 | 0.01 |
      | refusals while another region has room      | read .7 180 576 1383 0 2; order .3 170 694 1735 1 9  | 0.75     | 6 6 12 12 | refused | at least 0.05 | at most 0.05 | 0.01 |
      | callers that stay without a near upstream   | read .7 130 576 1383 0 2; order .3 170 694 1735 1 9  | 0.6      | 0 5 5 5   | left    | at least 0.2  | at least 0.2 | 0.02 |

  # All calls have the same size. The allowance is a twentieth of the bytes of all calls.
  Scenario Outline: allowance: <guards against>
    When <forced> calls had to leave and <answered> were answered, and <stayed> others stay
    Then a call may leave: <may_leave>, and at most <at_once> at once

    Examples:
      | guards against                                   | forced | answered | stayed | may_leave | at_once |
      | bytes in vain right after a start                | 0      | 0        | 0      | no        | 0       |
      | no call that leaves for lack of earlier ones     | 0      | 0        | 21     | yes       | 1       |
      | calls that stay for long after an outage near by | 100    | 0        | 21     | yes       | 1       |
      | a flood after calls that had to leave            | 100    | 100      | 0      | yes       | 4       |
      | a flood after a calm hour                        | 0      | 0        | 10000  | yes       | 4       |

  # Each daemon is told once how much longer an upstream is slow after its start.
  Scenario Outline: an upstream that was to be cold for <cold> ms, <age> ms ago, gets <low> to <high> % of calls
    Guards against upstreams that get few calls for as long as they run because they started cold.
    When of two idle upstreams one was to be cold for <cold> ms, <age> ms ago
    Then it gets <low> to <high> % of the calls

    Examples:
      | cold | age   | low | high |
      | 3000 | 0     | 0   | 10   |
      | 3000 | 2900  | 0   | 10   |
      | 3000 | 3100  | 40  | 60   |
      | 0    | 0     | 40  | 60   |
