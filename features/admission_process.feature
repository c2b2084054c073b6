Feature: Admission in running daemons
  Guards against calls that are lost or cut off on shutdown, work that goes on after its caller has
  disconnected, and settings of the configuration that do not reach admission control.

  Scenario: SIGTERM with a long call in flight and one in the queue
    Guards against a shutdown that cuts off the running call or leaves the queued one unanswered.
    Given daemons for "delivery-scheduling" with 1 slots
    When the upstream holds calls to "/deliveries/long"
    And a "POST" to "/deliveries/long" runs and a "GET" to "/deliveries/queued" waits
    And the daemon gets SIGTERM
    Then the waiting call is answered "not-run" for "leaving"
    And a call that a peer sends now is answered "not-run" for "leaving"
    When the upstream releases its calls
    Then the running call is answered "ran" and the daemon exits with code 0
    And the upstream executed 1 call with a deadline

  Scenario Outline: a caller that disconnects during a <method> over <hops> daemons
    Guards against idempotent work that nobody waits for, and against a POST stopped half-way.
    Given daemons for "delivery-scheduling" with 1 slots
    When the upstream holds calls to "/deliveries/long"
    And a caller sends a "<method>" to "/deliveries/long" over <hops> daemons and disconnects
    And the upstream releases its calls if the method is "POST"
    Then the upstream has <completed> completed and <cancelled> cancelled calls
    And a "GET" to "/deliveries/1" is answered "ran"

    Examples:
      | method | hops | completed | cancelled |
      | GET    | 1    | 0         | 1         |
      | GET    | 2    | 0         | 1         |
      | POST   | 2    | 1         | 0         |

  Scenario: long calls leave slots to short ones as the configuration says
    Guards against long calls that take every slot because the class policy was not applied.
    Given daemons for "catalogue" with 2 slots
    When a "GET" to "/catalogue/report?work_ms=300" was answered
    And the upstream holds calls to "/catalogue/report"
    And 2 calls to "/catalogue/report" are sent
    Then a "GET" to "/catalogue/hutch" is answered "ran"
    And the upstream executed "/catalogue/report" 2 times
