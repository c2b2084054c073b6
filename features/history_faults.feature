Feature: Fault runs
  Guards against combinations of faults that break an invariant, and against an injector whose steps
  for one node overlap.

  Scenario: a short fault run with a fixed seed gives no violation
    When faults with seed 1 run for 12 seconds
    Then the history has no violations

  Scenario Outline: steps of the injector: <guards against>
    Given a fleet of 2 nodes whose upstreams refuse <refusals> connections after a start
    When the faults "<faults>" are injected
    Then the injector did "<actions>"

    Examples:
      | guards against                                   | refusals | faults                              | actions                                                                                    |
      | a drain of an upstream that is still starting    | 3        | 0 kill-upstream, 0 drain-upstream   | 0 kill, 0 exited, 0 start upstream, 0 drain, 0 undrain                                     |
      | a drain of an upstream that was killed twice     | 3        | 0 kill-upstream, 0 kill-upstream, 0 drain-upstream | 0 kill, 0 exited, 0 start upstream, 0 kill, 0 exited, 0 start upstream, 0 drain, 0 undrain |
      | a signal to a daemon that is being replaced      | 0        | 0 replace-daemon, 0 pause-daemon    | 0 SIGTERM, 0 exited, 0 start daemon, 0 SIGSTOP, 0 SIGCONT                                  |
      | a kill before the killed daemon is started again | 0        | 0 kill-daemon, 0 kill-daemon        | 0 kill, 0 exited, 0 start daemon, 0 kill, 0 exited, 0 start daemon                         |
      | a node that is held up by another node           | 0        | 0 replace-daemon, 1 pause-daemon    | 0 SIGTERM, 1 SIGSTOP, 1 SIGCONT, 0 exited, 0 start daemon                                  |
