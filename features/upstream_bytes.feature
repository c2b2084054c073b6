Feature: An upstream that writes bytes without end
  Guards against an endless response that fills the daemon's memory, delays other calls or keeps its
  slot. The stand-in upstream writes until its connection is closed. Zone north-a has daemon d0
  (service s0) and d1 (s1), south-a has d2 (s0). "/safe/" leads to s0, "/peer/" to s1 and is unsafe.
  Where upstream u1 has one slot, its next call runs only when the endless one has freed it.

  Scenario Outline: an unsafe call: <part> without end
    Given a platform fleet that counts what its upstreams send
    When upstream "u1" tells its daemon "ready sequence=90 slots=1"
    And upstreams "u1" answer with endless "<part>"
    And during calls of "GET /safe/1" a caller of d0 sends "POST /peer/1"
    Then the answer is <status>, at most <most> KiB of it were read and all other calls got 200
    And "u1" has no open exchange, its connection is closed and it keeps no bytes
    When a caller of d0 sends "POST /peer/2"
    Then the answer is 200 and upstream "u1" ran 2 calls

    Examples: one read may bring 256 KiB beyond the limits
      | part              | status | most |
      | blank lines       | 502    | 320  |
      | reason phrase     | 502    | 320  |
      | fields            | 502    | 320  |
      | field name        | 502    | 320  |
      | field value       | 502    | 320  |
      | interim responses | 502    | 320  |
      | body              | 502    | 8448 |
      | stated body       | 502    | 320  |
      | chunks            | 502    | 8512 |
      | small chunks      | 502    | 512  |
      | chunk size        | 502    | 320  |
      | chunk extension   | 502    | 320  |
      | trailers          | 502    | 320  |
      | trailer value     | 502    | 320  |
      | after the answer  | 200    | 512  |

  Scenario Outline: a safe call is answered by another upstream: <part> without end
    Guards against a safe call that fails with its first upstream, and a read beyond the limits.
    Given a platform fleet that counts what its upstreams send
    When upstreams "u0,u2" answer with endless "<part>"
    And during calls of "POST /peer/1" a caller of d1 sends "GET /safe/1"
    Then the answer is 200, at most <most> KiB of it were read and all other calls got 200
    And all upstreams ran it 2 times

    Examples:
      | part              | most |
      | fields            | 320  |
      | interim responses | 320  |
      | body              | 8448 |
      | chunks            | 8512 |

  Scenario: several bodies without end share the memory for answers
    Guards against a limit for each answer that lets several answers at once fill the memory. The
    calls have time, so that the limit ends them however busy the machine is.
    Given a platform fleet that counts what its upstreams send, with 30 s for each call
    When upstream "u1" tells its daemon "ready sequence=90 slots=8"
    And upstreams "u1" answer with endless "body, body, body, body, body, body"
    And callers of d0 send "POST /peer/1" 6 times at once
    Then every answer was 502
    And the unfinished answers of "u1" took at most 34304 KiB together
    And "u1" has no open exchange, its connection is closed and it keeps no bytes

  Scenario: the log says why the call failed and how much came
    Guards against a failure whose cause and size an operator cannot see.
    Given a platform fleet that counts what its upstreams send
    When upstreams "u1" answer with endless "fields"
    And a caller of d0 sends "POST /peer/1"
    Then the answer's status is 502
    And "u1"'s daemon logs "reason=answer-too-large" with the bytes that it read

  Scenario Outline: an answer <size> <what> is passed on
    Given a platform fleet that counts what its upstreams send, with 30 s for each call
    When upstreams "u1" answer with <count> <what>
    And a caller of d0 writes "POST /peer/1 content-length: 0"
    Then it reads statuses "<status>"

    Examples: guards against limits that cut off what an answer may be
      | size     | count    | what                     | status |
      | of much  | 60000    | bytes of fields          | 200    |
      | too much | 66000    | bytes of fields          | 502    |
      | of much  | 8388608  | bytes of body            | 200    |
      | too much | 8388609  | bytes of body            | 502    |
      | of much  | 8000000  | bytes in chunks of 1,000 | 200    |
      | of much  | 12000    | bytes in chunks of 1     | 200    |
      | of much  | 1000     | interim responses        | 200    |

  Scenario Outline: an unsafe call until its deadline: <part> a few bytes at a time
    Guards against a response below the size limits that keeps its slot after the deadline.
    Given a platform fleet that counts what its upstreams send
    When upstream "u1" tells its daemon "ready sequence=90 slots=1"
    And upstreams "u1" trickle endless "<part>"
    And a caller of d0 sends "POST /peer/1"
    Then the answer's status is <status>
    And "u1" has no open exchange, its connection is closed and it keeps no bytes
    When a caller of d0 sends "POST /peer/2"
    Then the answer is 200 and upstream "u1" ran 2 calls

    Examples:
      | part              | status |
      | blank lines       | 504    |
      | fields            | 504    |
      | field value       | 504    |
      | interim responses | 504    |
      | body              | 504    |
      | stated body       | 502    |
      | chunks            | 504    |
      | trailers          | 504    |

  Scenario: a safe call until its deadline: a body a few bytes at a time
    Guards against an endless body of a safe call that keeps its slot after the deadline.
    Given a platform fleet that counts what its upstreams send
    When upstreams "u0" trickle endless "body"
    And a caller of d0 sends "GET /safe/1"
    Then the answer's status is 504
    And "u0" has no open exchange, its connection is closed and it keeps no bytes

  Scenario: a caller that leaves an unsafe call: a body a few bytes at a time
    Guards against an endless body that keeps its slot after the caller closed its connection.
    Given a platform fleet that counts what its upstreams send
    When upstreams "u1" trickle endless "body"
    And a caller of d0 sends "POST /peer/1" and leaves
    Then "u1" has no open exchange, its connection is closed and it keeps no bytes

  Scenario: an unsafe run that answers after its deadline is not cut off
    Guards against a deadline that closes the connection of a run that has sent nothing yet.
    Given a platform fleet that counts what its upstreams send
    When upstreams "u1" answer "hold"
    And a caller of d0 sends "POST /peer/1"
    Then the answer's status is 504
    And "u1" still works on it; once it answers, its connection is kept for the next call

  Scenario Outline: a store that gives page after page: <guards against>
    When a daemon reads what is announced from a store with endless pages of <size> bytes
    Then the store fails after at most <pages> pages

    Examples:
      | guards against                 | size    | pages |
      | a loop that does not end       | 10      | 256   |
      | memory that fills with records | 1000000 | 9     |

  Scenario Outline: the store's client: <part> without end
    Guards against a server whose endless response fills the memory of the daemon that reads it.
    When a client asks a server that answers with endless "<part>"
    Then it fails and read at most <most> KiB

    Examples:
      | part              | most |
      | blank lines       | 288  |
      | fields            | 288  |
      | field value       | 288  |
      | interim responses | 288  |
      | body              | 288  |
      | stated body       | 288  |
      | chunks            | 8512 |
      | chunk size        | 288  |
      | chunk extension   | 288  |
      | trailers          | 288  |
