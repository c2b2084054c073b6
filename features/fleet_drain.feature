Feature: Listeners and daemons that stop
  Guards against requests that were accepted and end without an answer because a listener or its
  daemon stops.

  Scenario: no request runs after the last answer of a connection
    Guards against a request that runs and then ends with the connection, without an answer.
    Given a listener that is about to close
    When a slow reader gets the last answer of a connection after it sent another request
    Then one request was handled

  Scenario Outline: the last answer of a connection arrives whole though <more data> followed its request
    Guards against a reset that discards the part of the answer that was not delivered yet.
    Given a listener that is about to close
    When a slow reader gets the last answer of a connection after it sent <more data>
    Then the whole answer arrives

    Examples:
      | more data               |
      | another request         |
      | part of a large request |

  Scenario Outline: a request that is <state> when its listener closes is answered
    Guards against a request that is cut or ignored because it arrived during the close.
    Given a listener that is about to close
    When a request is <state> as the listener closes
    Then the request is answered with "200" and the connection ends

    Examples:
      | state                              |
      | incomplete in its head             |
      | incomplete in its body             |
      | not read yet                       |
      | on a connection not accepted yet   |
      | not sent yet on a new connection   |

  Scenario Outline: a request that stays <state> after its listener closed is refused as not run
    Guards against an incomplete request that holds up the close, or ends without an answer.
    Given a listener that is about to close
    When a request stays <state> as the listener closes
    Then the request is answered with "503" and the connection ends
    And the answer says "not-run" because of "leaving"

    Examples:
      | state                  |
      | incomplete in its head |
      | incomplete in its body |

  Scenario: a connection without a request does not hold up the close of its listener
    Guards against a close that waits for a caller that sends nothing.
    Given a listener that is about to close
    When a connection is idle as the listener closes
    Then the connection ends without an answer

  Scenario Outline: a leaving daemon answers a request on a <connection> connection and ends the connection
    Guards against requests that callers send on kept connections just as the listener closes.
    Given the tasks of a daemon
    When a caller sends a request on a <connection> connection while the daemon leaves
    Then the request is answered with "503" and the connection ends
    And the answer says "not-run" because of "no-configuration"

    Examples:
      | connection |
      | kept       |
      | new        |

  Scenario: a daemon that has shut down accepts no request that nobody answers
    Guards against requests of the upstream or of operators that are cut when the process ends.
    Given the tasks of a daemon
    When the daemon has shut down
    Then no listener of the daemon accepts a connection

  Scenario Outline: calls end with their answers when another task fails <moment>
    Guards against calls that are cut because one task of their daemon failed.
    Given the tasks of a daemon
    When the configuration task fails <moment> while a peer's call runs
    Then the request is answered with "200" and the connection ends
    And the failure ends the daemon

    Examples:
      | moment                   |
      | before the daemon leaves |
      | while the daemon leaves  |

  Scenario Outline: a call that never ends does not hold up a daemon whose task fails <moment>
    Guards against a daemon that hangs in its shutdown because a task that calls wait for has ended.
    Given the tasks of a daemon
    When the configuration task fails <moment> and a call waits that never ends
    Then the failure ends the daemon

    Examples:
      | moment                   |
      | before the daemon leaves |
      | while the daemon leaves  |
