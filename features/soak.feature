Feature: Checks of the fault soak
  Guards against a soak that passes although a promise was broken, and against seeds whose schedule
  of faults differs from run to run.

  Scenario Outline: a history with <what> breaks "<promise>"
    Guards against a check that misses a broken promise or reports one that was kept.
    Given a history of a soak without violations
    When it also holds <what>
    Then exactly "<promise>" is reported

    Examples:
      | what                                 | promise              |
      | nothing else                         | -                    |
      | a booking that ran twice             | runs_once            |
      | a refused booking that ran           | refusals_are_true    |
      | a foreign answer                     | answers_are_own      |
      | an answer without a run              | answers_are_own      |
      | a run after a confirmed leave        | leaves_bind          |
      | a run after an answer that said so   | announced_leaves_bind |
      | the same after a restart since then  | -                    |
      | a limit that was exceeded            | limits_hold          |
      | a limit that was kept                | -                    |
      | a version that went down             | versions_rise        |
      | a version that is lower after a kill | -                    |
      | a version that is late               | changes_arrive       |
      | a version that is late at a silence  | -                    |
      | a run with an unknown key            | keys_bind            |
      | a run with a withdrawn key           | keys_bind            |
      | a run with a key withdrawn just now  | -                    |
      | a run with the newest key            | -                    |
      | a withdrawn key while a link is cut  | -                    |
      | a key in force that was refused      | keys_are_accepted    |
      | 141 runs of the limited customer     | -                    |
      | 142 runs of the limited customer     | customer_limit_holds |
      | a daemon that ended by itself        | daemons_live         |
      | a traceback                          | daemons_live         |
      | a request cut by a graceful stop     | stops_are_graceful   |
      | a request cut while a link was reset | -                    |
      | requests that fail at the end        | recovers             |

  Scenario Outline: a signal to an ended process that is <state> leaves its exit code to the watcher
    Guards against a signal that collects the exit code of an ended process, as Popen.send_signal
    does: the code that waits for the process would then not get it.
    Given a process of a soak that has ended with code 3 and is <state>
    When the soak sends it a signal
    Then its exit code is <code>

    Examples:
      | state      | code |
      | not reaped | 3    |
      | reaped     | lost |

  Scenario: a seed gives the same schedule every time
    Guards against a failed seed that cannot be repeated, and kinds of fault that no seed has.
    Then the schedules of seeds 1 to 40 repeat, overlap and hold every kind of fault

  Scenario Outline: a listing of known failures: <guards against>
    When a listing holds "<line>"
    Then the soak seeds "<seeds>" are known to fail

    Examples:
      | guards against                    | line                        | seeds   |
      | a known failure that is counted   | test: soak seed 102         | 102     |
      | the second of two listed seeds    | test: soak seeds 304 and 403 | 304 403 |
      | a seed in a scenario's name       | test: a call of seed 12     |         |
      | a seed in another line            | seen: soak seed 7 passed    |         |
