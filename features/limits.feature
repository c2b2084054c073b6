Feature: Limits that upstreams name, and leaves that their answers announce
  Guards against an upstream in need that gets more calls than it takes, and against one that is given
  calls after it has said that it is leaving.

  # Virtual time: calls of 80 ms with an objective of 300 ms and a deadline of 800 ms arrive at 12 slots.
  # Each answer names the limit of its time: AT LIMIT, "-" for none, with times in s. Bounds of 4 s hold
  # from 3 s after each time on: one and a half times the highest limit since then, and 5 more.
  Scenario Outline: <guards against>
    When <load> calls a second arrive for 30 s at an upstream that names the limits "<limits>"
    Then it gets no more than its limits allow, and at least <used> of them
    And no call waits for more than its objective and is refused then

    Examples:
      | guards against                                  | load | limits                       | used |
      | calls beyond the limit                          | 120  | 0 25                         | 0.9  |
      | a limit that is lowered later                   | 120  | 0 60; 15 25.5                | 0.85 |
      | a limit that stays after it has risen           | 120  | 0 25; 15 60                  | 0.85 |
      | a limit that stays after it has ended           | 120  | 0 25; 15 -                   | 0.85 |
      | a limit that comes back                         | 120  | 0 25; 10 -; 20 30            | 0.85 |
      | an answer without the limit now and then        | 120  | 0 25 gaps                    | 0.9  |
      | an answer whose limit is no number              | 120  | 0 25; 10 nan                 | 0.9  |
      | a negative limit                                | 120  | 0 25; 10 -3                  | 0.9  |
      | a limit without an end of digits                | 120  | 0 25; 15 99999999999999999999 | 0.85 |
      | an upstream that is never asked again           | 120  | 0 0; 10 -                    | 0.5  |
      | a limit of less than one a second               | 120  | 0 0.2                        | 0.9  |
      | refusals while the limit has room               | 20   | 0 25                         | 0.7  |

  # The limits that its earlier handovers have told the sender are in each handover.
  Scenario Outline: a daemon that has just started: <guards against>
    When a daemon whose upstream has answered "<answers>" gets handovers that tell the limits "<told>"
    Then it limits its upstream to "<limit>" calls a second

    Examples:
      | guards against                                   | answers | told    | limit |
      | a limit that a restart of the daemon forgets     | -       | 30 30   | 30    |
      | a peer's older limit that counts more            | 25      | 30      | 25    |
      | a limit of a peer after the upstream named none  | none    | 30      | none  |
      | a limit where nobody knows of one                | -       | none    | none  |

  Scenario: a limit binds the whole fleet, also while the daemon next to the upstream restarts
    Guards against a limit that each caller's daemon keeps for itself.
    Given a platform fleet
    When the upstreams name a limit of 20 while callers of every daemon send "GET /safe/1" for 9 s, and d0 restarts after 5 s
    Then no upstream got more than 125 calls in 4 s, from 3 s after it first named the limit

  Scenario Outline: an upstream whose answers say that it leaves gets no more calls: <guards against>
    Given a platform fleet
    When the store "<store>"
    And upstream "u0" says in its answers that it leaves
    And a caller of d0 sends "GET /safe/1" until upstream "u0" has answered
    And <then>
    And upstream "u0" tells its daemon "late ready"
    And a caller of d0 sends "GET /safe/1" 8 times
    Then upstream "u0" has run nothing since it said so

    Examples:
      | guards against                      | store    | then                                     |
      | a leave that only a heartbeat tells | works    | upstream "u0" tells its daemon "ready"   |
      | a leave that needs the store        | is silent | upstream "u0" tells its daemon "ready"  |
      | a leave that a restart forgets      | works    | daemon d0 is killed and started again    |
