Feature: A stopping daemon loses no request
  Guards against requests that a daemon accepts while it stops and then leaves unanswered. Callers
  keep sending to the stopping daemon until its listener is closed, like callers that are not moved
  to another daemon. The fleet is that of platform.feature; the grace time is 3 s.

  Scenario Outline: a stopping daemon that callers keep sending to cuts no request: <guards against>
    Given a platform fleet
    When upstreams work 150 ms on each call
    And callers of d1 keep sending "<line>" on <connections> connections while d1 stops
    Then no request that d1 accepted ended without an answer
    And no request that was refused as not run has run

    Examples:
      | guards against                              | line         | connections |
      | a safe call accepted too late to finish     | GET /safe/1  | new         |
      | a safe call cut on a kept connection        | GET /safe/1  | kept        |
      | pipelined calls cut after the first of them | GET /safe/1  | pipelined   |
      | an unsafe call accepted too late to finish  | POST /once/1 | new         |
      | an unsafe call cut on a kept connection     | POST /once/1 | kept        |

  Scenario: a handover on its way to a stopping daemon is refused there, not lost
    Given a platform fleet
    When upstreams work 20 ms on each call
    And messages from d0 reach d1 100 ms late
    And callers of d1 keep sending "POST /once/1" on new connections while d0 stops
    Then every answer was 200 and none was missing

  Scenario: an answer that a slow caller has not read when the drain ends still arrives whole
    Given a platform fleet
    When upstreams answer with 8000000 bytes
    And a caller of d1 reads the answer to "GET /safe/1" only after the daemon refuses new calls
    Then the answer is whole

  Scenario: a task that fails ends the daemon only after its open calls were answered
    Guards against a call that is cut because another task of its daemon failed.
    Given a platform fleet
    When upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "POST /once/1" while the source task of d1 fails
    Then the answer is 200 and all upstreams ran it 1 times
    And d1 has logged "task_failed"

  Scenario Outline: the plan of a stop with a grace time of 6 s: <guards against>
    Given a stop whose open calls end <open> ms after SIGTERM
    Then a call that arrives after <at> ms with <left> ms left is <taken>

    Examples:
      | guards against                                | open | at   | left | taken   |
      | a refusal before callers could move           | 0    | 2599 | 9000 | taken   |
      | a call that outlasts the open ones            | 3000 | 2700 | 600  | refused |
      | a refusal of calls made by open calls         | 3800 | 2700 | 200  | taken   |
      | a drain that new calls make longer            | 3800 | 3700 | 200  | refused |
      | a call that cannot be answered before SIGKILL | 9000 | 4900 | 200  | refused |
      | a refusal while one long call is open         | 9000 | 4000 | 600  | taken   |
