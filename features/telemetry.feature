Feature: Telemetry
  Guards against hops that are missing from a trace, and metrics that are missing or change units.

  Scenario: a call has one span for each hop, all in the caller's trace
    Given daemons write their spans to the log
    And a fleet of 1 upstream for each of "case-portal,van-booking" at "aarhus-a"
    When the example configuration "lysknude" is published
    And a call to "/cases/1" is sent through the daemon next to "van-booking" with a trace
    Then the logs show these spans of that trace, each the parent of the next
      | node        | span             |
      | van-booking | serve callers    |
      | van-booking | send to peer     |
      | case-portal | serve peers      |
      | case-portal | send to upstream |
    And the daemon next to "van-booking" reports these metrics
      | metric                      | unit   |
      | agatecross.calls            | {call} |
      | agatecross.call.duration    | ms     |
      | agatecross.control.sent     | By     |
      | agatecross.control.received | By     |
