Feature: Clients that do not keep to the limits
  Guards against a daemon that ends, grows without bound, runs out of descriptors or stops answering
  because of what clients send. Each crowd sends what it has without reading answers, and stays
  connected while an ordinary request is sent. The machine's memory is stated as 80 MB and the
  process may have 256 descriptors; the time-outs are too long to end a crowd. The bounds are on
  the resident memory that the crowd adds and on all descriptors of the process.

  Scenario Outline: relaying daemon, <address>: <crowd> connections with <kind>
    Given a relaying daemon process for hostile clients
    When <crowd> clients connect to "<address>" and each sends "<kind>"
    Then the process lives, its memory grew by at most <growth> MiB, with at most 192 descriptors
    And an ordinary request is answered 200

    Examples: callers
      | address | crowd | kind                        | growth |
      | callers | 150   | short lines, head not ended | 48     |
      | callers | 150   | lines without a value       | 48     |
      | callers | 150   | lines of spaces             | 48     |
      | callers | 150   | lines of high bytes         | 48     |
      | callers | 150   | folded lines                | 48     |
      | callers | 150   | short lines, body not ended | 48     |
      | callers | 8     | a name without end          | 48     |
      | callers | 8     | a value without end         | 48     |
      | callers | 8     | a target without end        | 48     |
      | callers | 8     | a head over the limit       | 48     |
      | callers | 8     | empty lines without end     | 48     |
      | callers | 8     | a chunk extension           | 48     |
      | callers | 8     | chunks of one byte          | 48     |
      | callers | 8     | chunks of two bytes         | 48     |
      | callers | 8     | trailers without end        | 48     |
      | callers | 8     | a trailer without end       | 48     |
      | callers | 100   | half a body                 | 48     |
      | callers | 8     | requests for large answers  | 48     |
      | callers | 150   | three large answers unread  | 48     |
      | callers | 400   | nothing                     | 48     |

    Examples: the other addresses
      | address    | crowd | kind                        | growth |
      | heartbeats | 100   | half a body                 | 48     |
      | heartbeats | 100   | short lines, body not ended | 48     |
      | heartbeats | 8     | chunks of two bytes         | 48     |
      | heartbeats | 400   | nothing                     | 48     |
      | ready      | 100   | half a body                 | 48     |
      | ready      | 400   | nothing                     | 48     |
      | metrics    | 8     | a value without end         | 48     |
      | metrics    | 400   | nothing                     | 48     |
      | peers      | 8     | a frame not ended           | 48     |
      | peers      | 400   | nothing                     | 48     |

  Scenario Outline: relaying daemon: <busy> connections keep sending <kind>, <silent> only connect
    Guards against turns of the loop that are so long that nobody else is accepted or read.
    Given a relaying daemon process for hostile clients
    When <busy> clients keep sending "<kind>" to "callers" and <silent> only connect
    Then an ordinary request is answered 200
    And the process lives, its memory grew by at most <growth> MiB, with at most 192 descriptors

    Examples:
      | busy | kind                    | silent | growth |
      | 90   | chunks of two bytes     | 0      | 48     |
      | 90   | chunks of two bytes     | 1300   | 48     |
      | 90   | half a body             | 1300   | 48     |
      | 90   | empty lines without end | 1300   | 48     |

  Scenario Outline: own interface, <address>: <crowd> connections with <kind>
    Given a daemon process with the own interface for hostile clients
    When <crowd> clients connect to "<address>" and each sends "<kind>"
    Then the process lives, its memory grew by at most <growth> MiB, with at most 192 descriptors
    And an ordinary request is answered 503

    Examples:
      | address | crowd | kind                        | growth |
      | callers | 100   | short lines, head not ended | 48     |
      | callers | 100   | short lines, body not ended | 48     |
      | callers | 8     | a value without end         | 48     |
      | callers | 8     | empty lines without end     | 48     |
      | callers | 8     | a chunk extension           | 48     |
      | callers | 8     | chunks of two bytes         | 48     |
      | callers | 8     | trailers without end        | 48     |
      | callers | 100   | half a body                 | 48     |
      | callers | 400   | nothing                     | 48     |
      | admin   | 100   | half a body                 | 48     |
      | admin   | 400   | nothing                     | 48     |
      | peers   | 100   | half a body                 | 48     |
      | peers   | 400   | nothing                     | 48     |

  Scenario Outline: own interface, control messages: <crowd> connections with <kind>
    Given a daemon process with the own interface for hostile clients
    When <crowd> clients connect to "control" and each sends "<kind>"
    Then the process lives, its memory grew by at most <growth> MiB, with at most 192 descriptors
    And an ordinary request is answered 503
    And a control message is answered

    Examples:
      | crowd | kind                | growth |
      | 400   | nothing             | 48     |
      | 400   | half a greeting     | 48     |
      | 400   | a greeting          | 48     |
      | 8     | a message not ended | 48     |

  Scenario Outline: <process>, <address>: <crowd> connections that all wait to be accepted
    Guards against connections that are accepted in one turn beyond the places, which are free later.
    Given <process> for hostile clients
    When <crowd> clients connect to "<address>" while the process is paused
    Then the process lives, its memory grew by at most 48 MiB, with at most 192 descriptors
    And an ordinary request is answered <status>

    Examples:
      | process                               | address | crowd | status |
      | a relaying daemon process             | callers | 400   | 200    |
      | a relaying daemon process             | peers   | 400   | 200    |
      | a relaying daemon process             | metrics | 400   | 200    |
      | a daemon process with the own interface | callers | 400   | 503    |
      | a daemon process with the own interface | peers   | 400   | 503    |
