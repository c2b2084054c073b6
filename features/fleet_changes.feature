Feature: Fleet changes
  Guards against calls that are lost, and work that reaches an upstream that left, while the fleet
  changes.

  Scenario: regions that are partitioned keep serving, and catch up when the link is restored
    Guards against daemons that refuse calls or stay on an old version because of a lost link.
    Given a fleet in two regions joined by a link, with "case-portal" in each data centre
    When the example configuration "lysknude" is published
    And the link is cut
    And a changed configuration is published with a wait of 3 seconds
    Then the client ends with code 4
    And the client names every daemon of region "sjaelland" as behind
    And every daemon answers a call to "/cases/1" by service "case-portal"
    When the link is restored
    Then version 2 is in force on every daemon
    And every daemon sees every upstream as ready

  Scenario Outline: a draining upstream gets no new work through a daemon that was <condition>
    Guards against calls that are routed by an outdated view, also right after a pause.
    Given a fleet of 1 upstream for each of "case-portal,case-portal,van-booking" at "aarhus-a"
    When the example configuration "lysknude" is published
    And the daemon next to "van-booking" is <condition> while the first upstream starts to drain
    And 40 calls to "/cases/1" go through the daemon next to "van-booking"
    Then all calls ran
    And the first upstream executed none of them

    Examples:
      | condition |
      | running   |
      | paused    |

  Scenario: a peer that missed the draining is refused as not run
    Guards against a draining upstream that runs calls of a peer with an outdated view.
    Given a fleet of 1 upstream for each of "case-portal,case-portal,van-booking" at "aarhus-a"
    When the example configuration "lysknude" is published
    And the daemon next to "van-booking" is running while the first upstream starts to drain
    And a peer sends a call to "/cases/1" straight to the first daemon
    Then the peer is told "not-run" because of "leaving"
    And the first upstream executed none of them
