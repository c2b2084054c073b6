Feature: The end of a daemon or of a connection leaves no accepted request without an answer
  The fleet is that of platform.feature; the grace time is 3 s unless a scenario states another.

  Scenario: a stopping daemon does not run a request that follows the last one it answers
    Guards against a request that runs although its caller gets no answer and sends it again.
    Given a platform fleet
    When d1 leaves while a call of its caller is open
    And its caller sends "/nowhere/1" and, in the same write, "/safe/1" after it
    Then the caller got 404 and the end of the connection
    And no upstream ran the second request

  Scenario: callers that reset their connections do not break off the end of a drain
    Guards against an error on a reset connection that keeps the others from ending in order.
    Given a platform fleet
    When 3 of 6 idle callers of d1 reset their connections as the daemon ends all of them
    Then the other 3 callers saw an orderly end

  Scenario Outline: a call that waits for a slot of a daemon that ends: <guards against>
    Given a platform fleet
    When upstream "u1" has one slot and holds the call in it
    And d1 stops with a grace time of 1000 ms while a call of <entry> waits for the slot
    Then the waiting call got 503
    And no upstream ran the waiting call

    Examples:
      | guards against                                              | entry |
      | a handover reported as lost though it has not run           | d0    |
      | a caller left without an answer though its call has not run | d1    |

  Scenario Outline: a call that is open when the daemon of its caller ends: <guards against>
    Given a platform fleet
    When upstream "u1" has one slot and holds the call in it
    And d0 stops with a grace time of 1000 ms while a call of d0 waits for the slot
    Then the <call> call got 502

    Examples:
      | guards against                                              | call    |
      | no answer to a caller whose call waits at another daemon    | waiting |
      | no answer to a caller whose call runs at another daemon     | running |

  Scenario: a daemon stops reading from a caller that keeps sending and reads no answers
    Guards against memory that grows with the answers that a caller does not read.
    Given a platform fleet
    When upstreams answer with 200000 bytes
    And a caller of d1 sends "GET /safe/1" 400 times and reads nothing
    Then d1 stopped reading before it held 40000000 bytes for the caller
    And the caller got every answer when it read again

  Scenario: the connection of a caller that never reads its last answer is closed
    Guards against a connection that stays open for ever because its last answer cannot be sent.
    Given a platform fleet
    When upstreams answer with 8000000 bytes
    And a caller of d1 sends a request with "connection: close" and reads nothing
    Then d1 closed the connection after the idle timeout

  Scenario: a daemon without free file descriptors completes its drain
    Guards against a drain that fails because a socket cannot be duplicated.
    Given a platform fleet
    When d1 stops without free file descriptors while a caller of it is connected
    Then the caller saw the orderly end of its connection
