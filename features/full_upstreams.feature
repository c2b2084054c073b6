Feature: Upstreams that reset connections when they are full
  Guards against a daemon that keeps a full upstream busy with new connections, and against a failure
  for a request that was never written and could run elsewhere. Daemons, the store and the upstreams'
  stand-ins run in one process. Route "/once/" leads to u0, near d1, and to u2; "/peer/" to u1.

  # The connections include those that show whether the upstream still listens: one in 100 ms for as
  # long as it may have crashed, which is 1.5 s after the last lost request.
  Scenario Outline: <guards against>
    Given a platform fleet
    When "<full>" resets new connections while a caller of d1 sends "<line>" 4 times
    Then it gets "<statuses>" and the upstream at most <connections> new connections
    And the upstream ran nothing, and serves "<line>" once it has room

    Examples:
      | guards against                               | full | line         | statuses        | connections |
      | a new connection for each reset              | u1   | GET /peer/1  | 502 503 503 503 | 30          |
      | a failure where the request was not written  | u0   | POST /once/1 | 502 200 200 200 | 30          |
      | "may have run" where nothing was written     | u1   | POST /peer/1 | 502 503 503 503 | 30          |
