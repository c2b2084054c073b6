Feature: Connections to upstreams that go silent without a reset
  Guards against an idle, sound upstream that gets no work because of connections that answer nothing.

  Scenario Outline: silent connections to an upstream: <guards against>
    Given a platform fleet
    When upstreams "<upstreams>" go silent on the connections of <idle> served "<line>"
    And callers of d0 send "<line>" <running> times at once
    Then every answer was 504
    When callers of d0 send "<line>" 3 times at once, until none fails in at most <batches> batches
    Then every answer was 200

    Examples:
      | guards against                              | upstreams | line         | idle | running | batches |
      | slots that unsafe runs keep for good        | u1        | POST /peer/1 | 4    | 4       | 1000    |
      | idle connections that fail one by one       | u1        | POST /peer/1 | 4    | 1       | 1       |

  Scenario: the connections that were closed are logged and counted
    Guards against a silence that neither the log nor a metric shows.
    Given a platform fleet
    When upstreams "u1" go silent on the connections of 4 served "POST /peer/1"
    And callers of d0 send "POST /peer/1" 1 times at once
    Then every answer was 504
    And d1 has logged "upstream_silent" with "idle_closed=3"
    And d1 has counted 3 in 'agatecross_silent_connections_total{to="upstream"}'
