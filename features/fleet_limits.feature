Feature: Limits of customers with the project's own daemons
  Guards against more requests of a customer than its limit allows, summed over the daemons. Daemons,
  the log service and upstreams run as processes. "ann" holds k-ann, "bob" holds k-bob and has no limit.

  # Six callers send 33 calls a second each at most. "ann" may have at most (rate x 5 s + burst) x 1.1 + 20
  # of them served in any 5 s.
  Scenario Outline: <event> with <daemons> daemons: <guards against>
    Given a fleet of <daemons> daemons in which "ann" may send <rate> calls a second and a burst of 10
    When callers of all daemons send 1400 calls of "ann" while <event>
    Then "ann" has at most what a limit of <bound> allows, and the upstreams ran just the served calls
    And all refusals are 429 with a time to come back between 0.05 and 2 s
    And a home has limited "ann" by the reports of all <daemons> daemons
    And "bob" gets 200 at every daemon that runs
    And "ann" gets 200 again at every daemon that runs

    Examples:
      | guards against                            | daemons | event           | rate | bound |
      | a limit that no other daemon knows        | 1       | all daemons learn their share | 40   | 40    |
      | a limit that each daemon applies alone    | 2       | all daemons learn their share | 40   | 40    |
      | a limit that each daemon applies alone    | 3       | all daemons learn their share | 40   | 40    |
      | a new home that admits the limit again    | 3       | its home is killed | 40   | 40    |
      | a paused home that nobody replaces        | 3       | its home is paused | 40   | 40    |

  Scenario: a limit that falls
    Guards against a daemon that goes on with the former limit.
    Given a fleet of 3 daemons in which "ann" may send 1000 calls a second and a burst of 10
    When callers of all daemons send 150 calls of "ann" while nothing happens
    Then every call of "ann" was served
    When the limit of "ann" falls to 30 calls a second
    And callers of all daemons send 1400 calls of "ann" while nothing happens
    Then "ann" has at most what a limit of 30 allows, and the upstreams ran just the served calls
    When the limit of "ann" is withdrawn
    And callers of all daemons send 150 calls of "ann" while nothing happens
    Then every call of "ann" was served

  Scenario: customers without a limit
    Guards against messages between daemons that no configuration asks for.
    Given a fleet of 2 daemons in which "ann" has no limit
    When callers of all daemons send 300 calls of "ann" while nothing happens
    Then every call of "ann" was served
    And no daemon has sent a report

  Scenario: the operators' view
    Guards against a refusal that operators can't explain.
    Given a fleet of 3 daemons in which "ann" may send 40 calls a second and a burst of 10
    When callers of all daemons send 1400 calls of "ann" while nothing happens
    Then the refusals that the client's "customers" shows for "ann" are those that its callers got
    And the client's "customers" shows "ann limit 40/s burst 10"
    And the client's "customers ann" shows "home "
    And the client's "customers eve" shows "no limited customer 'eve' has called"
    And a daemon's metrics have "agatecross.customers.rate" of "ann"

  Scenario: a home of an earlier release
    Guards against a daemon that waits for a home that does not know the messages.
    Given a limits task whose peers "d2,d1" are "silent,current" homes
    Then the task first asks the home "d2" and then follows "d1"

  # Members are written NAME:STATE, "gone" for one that is no longer listed.
  Scenario Outline: daemons that may admit calls: <guards against>
    When the members become "<changes>" and the processes of "<refused>" have ended
    Then the known daemons are "<known>", the reachable ones "<reachable>" and the ended ones "<ended>"

    Examples:
      | guards against                              | changes                                        | refused | known | reachable | ended |
      | a suspect that is chosen as a home          | a:alive b:alive; a:alive b:suspect             | -       | me a b | a        | -     |
      | a lost daemon whose part is given out again | a:alive b:alive; a:alive b:suspect; a:alive    | -       | me a  | a         | -     |
      | an ended daemon that keeps its part         | a:alive b:alive; a:alive b:suspect             | b       | me a b | a        | b     |
      | a daemon that left and keeps its part       | a:alive b:leaving; a:alive                     | -       | me a  | a         | b     |
      | a daemon that is back and is not counted    | a:alive b:suspect; a:alive b:alive             | b       | me a b | a b      | -     |
      | a leaving daemon that becomes a home        | a:leaving b:alive                              | -       | me a b | b        | -     |

  # Customer cN makes N calls.
  Scenario Outline: rows of metrics: <guards against>
    When <count> customers call a daemon
    Then the metrics have the rows "<rows>" that sum up to <calls> calls

    Examples:
      | guards against                       | count | rows                            | calls |
      | a row without calls                  | 0     |                                 | 0     |
      | others where there are none          | 8     | c8 c7 c6 c5 c4 c3 c2 c1         | 36    |
      | a row for each customer of a table   | 300   | c300 c299 c298 c297 c296 c295 c294 c293 (others) | 45150 |
