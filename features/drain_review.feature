Feature: The end of a daemon or of a connection leaves no accepted request without an answer
  The fleet is that of platform.feature; the grace time is 3 s unless a scenario states another.

  Scenario: a request behind the last answer of a stopping daemon is not run unseen
    Given a platform fleet
    When d1 takes leave while a call of its caller is open
    And its caller sends "/nowhere/1" and, in the same write, "/safe/1" behind it
    Then the caller got 404 and the end of the connection
    And no upstream ran the request behind it

  Scenario: callers that reset their connections do not break off the end of a drain
    Given a platform fleet
    When 3 of 6 idle callers of d1 reset as it ends all connections
    Then the other 3 callers saw an orderly end

  Scenario Outline: a call that waits for a slot of a daemon that ends: <guards against>
    Given a platform fleet
    When upstream "u1" holds the one call that it has a slot for
    And d1 stops with 1000 ms of grace while a call of <entry> waits for the slot
    Then the waiting call got 503
    And no upstream ran the waiting call

    Examples:
      | guards against                                       | entry |
      | a handover reported as lost that has not run         | d0    |
      | a caller cut without an answer whose call did not run | d1    |

  Scenario Outline: a call that is open when the daemon of its caller ends: <guards against>
    Given a platform fleet
    When upstream "u1" holds the one call that it has a slot for
    And d0 stops with 1000 ms of grace while a call of d0 waits for the slot
    Then the <call> call got 502

    Examples:
      | guards against                                          | call    |
      | a caller without an answer whose call waited elsewhere  | waiting |
      | a caller without an answer whose call ran elsewhere     | running |

  Scenario: a caller that sends on and reads no answer is read no further
    Given a platform fleet
    When upstreams answer with 200000 bytes
    And a caller of d1 sends "GET /safe/1" 400 times and reads nothing
    Then d1 stopped reading before it held 40000000 bytes for the caller
    And the caller got every answer when it read on

  Scenario: a caller that never reads its last answer is closed in the end
    Given a platform fleet
    When upstreams answer with 8000000 bytes
    And a caller of d1 asks for the end of its connection and reads nothing
    Then d1 closed the connection after the idle time

  Scenario: a daemon without free descriptors drains to its end
    Given a platform fleet
    When d1 stops without free descriptors while a caller of it is connected
    Then the caller saw the orderly end of its connection
