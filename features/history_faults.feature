Feature: Fault run
  Guards against faults in combination that break an invariant.

  Scenario: a short fault run with a fixed seed gives no violation
    When faults with seed 1 run for 12 seconds
    Then the history has no violations

  Scenario Outline: steps of the injector: <guards against>
    Given a fleet of 2 nodes whose upstreams refuse <refusals> connections after a start
    When the faults "<faults>" are injected
    Then the fleet saw "<seen>"

    Examples:
      | guards against                               | refusals | faults                              | seen                                                       |
      | a switch that meets a starting upstream      | 3        | 0 kill-upstream, 0 drain-upstream   | 0 kill, 0 exited, 0 start upstream, 0 drain, 0 undrain     |
      | a drain that meets a starting upstream twice | 3        | 0 kill-upstream, 0 kill-upstream, 0 drain-upstream | 0 kill, 0 exited, 0 start upstream, 0 kill, 0 exited, 0 start upstream, 0 drain, 0 undrain |
      | a signal to a daemon that is being replaced  | 0        | 0 replace-daemon, 0 pause-daemon    | 0 SIGTERM, 0 exited, 0 start daemon, 0 SIGSTOP, 0 SIGCONT  |
      | a kill before the last kill was made good    | 0        | 0 kill-daemon, 0 kill-daemon        | 0 kill, 0 exited, 0 start daemon, 0 kill, 0 exited, 0 start daemon |
      | a node that waits for another node           | 0        | 0 replace-daemon, 1 pause-daemon    | 0 SIGTERM, 1 SIGSTOP, 1 SIGCONT, 0 exited, 0 start daemon  |
