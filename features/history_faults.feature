Feature: Fault run
  Guards against faults in combination that break an invariant.

  Scenario: a short fault run with a fixed seed gives no violation
    When faults with seed 1 run for 12 seconds
    Then the history has no violations
