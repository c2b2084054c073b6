Feature: Calls on the users' platform, between real sockets
  Guards against calls that are lost, run twice or get a wrong answer, and against a confirmed drain
  or leave that is forgotten. Daemons, the store and the upstreams' stand-ins run in one process,
  joined by loopback connections. Zone north-a has daemon d0 (service s0) and d1 (s1), south-a has
  d2 (s0).
  Route "/safe/" and "/once/" lead to s0 with 2 attempts, "/peer/" to s1; the timeout is 2 s.

  Scenario Outline: answers: <guards against>
    Given a platform fleet
    When upstreams "u0,u2" answer "<script>"
    And a caller of d1 sends "<method> <path>"
    Then the answer is <status> and all upstreams ran it <runs> times

    Examples:
      | guards against                              | script    | method | path    | status | runs |
      | a request that no daemon forwards           | whole     | GET    | /safe/1 | 200    | 1    |
      | a lost body                                 | whole     | POST   | /once/1 | 200    | 1    |
      | a failure passed on where a repeat is safe  | error     | GET    | /safe/1 | 200    | 2    |
      | a repeat of an unsafe failure               | error     | POST   | /once/1 | 500    | 1    |
      | a repeat of an unsafe lost answer           | reset     | POST   | /once/1 | 502    | 1    |
      | a lost answer of a safe call                | reset     | GET    | /safe/1 | 200    | 2    |
      | giving up when one upstream sheds           | shed      | POST   | /once/1 | 200    | 1    |
      | bytes that are no response                  | garbled   | GET    | /safe/1 | 200    | 2    |
      | a body that ends early                      | truncated | GET    | /safe/1 | 200    | 2    |
      | a body that ends early, sent on as whole    | truncated | POST   | /once/1 | 502    | 1    |
      | dropping a body that states no length       | unframed  | GET    | /safe/1 | 200    | 1    |
      | a success without the upstream's stamp      | unstamped | POST   | /once/1 | 502    | 1    |
      | an encoded body that is passed on           | encoded   | POST   | /once/1 | 502    | 1    |
      | an extra response taken for the next answer | extra     | GET    | /safe/1 | 200    | 1    |
      | a repeat allowed by the method alone        | reset     | DELETE | /once/1 | 502    | 1    |
      | a missing route                             | whole     | GET    | /none/1 | 404    | 0    |

  Scenario: an upstream's failure is logged also while served calls are left out
    Guards against a failed call that is left out of the log as served calls are.
    Given a platform fleet
    When a caller of d1 sends "GET /safe/1" 50 times
    And upstreams "u0,u2" answer "error"
    And a caller of d1 sends "POST /once/boom"
    Then the answer is 500 and all upstreams ran it 51 times
    And d1 has logged "call" with "target=/once/boom"

  Scenario: what an upstream gets is what the caller sent, with the fields of the system
    Guards against a changed target or body, and against a caller that forges its service's name.
    Given a platform fleet
    When a caller of d1 sends "POST /peer/a?b=%20c"
    Then upstream "u1" saw target "/peer/a?b=%20c", body "body", caller "s1" and at most 900 ms

  Scenario: the time that a slow body takes is not given to the upstream again
    Guards against a deadline that is counted only from the end of the caller's body.
    Given a platform fleet
    When a caller of d1 sends "POST /peer/a" with its body 400 ms later
    Then upstream "u1" saw target "/peer/a", body "body", caller "s1" and at most 500 ms

  Scenario Outline: callers' bytes: <guards against>
    Given a platform fleet
    When a caller of d1 writes "<bytes>"
    Then it reads statuses "<statuses>"

    Examples:
      | guards against                     | bytes                                                                                   | statuses |
      | answers out of order               | GET /safe/a \|GET /safe/b \|GET /none/c                                                 | 200 200 404 |
      | two lengths                        | POST /safe/a content-length: 1\ncontent-length: 2                                       | 400      |
      | a length beside chunks             | POST /safe/a content-length: 3\ntransfer-encoding: chunked                              | 400      |
      | a head beyond the limit            | GET /safe/a x-long: LONG                                                                | 431      |
      | an absolute target without a route | GET http://a.example/safe/a                                                             | 200      |
      | an offer of HTTP/2 taken for an error | GET /safe/a connection: upgrade, http2-settings\nupgrade: h2c\nhttp2-settings: AAMAAABkAAQAAP__\|GET /safe/b x: y | 200 200 |
      | the same with a body | POST /safe/a connection: upgrade, http2-settings\nupgrade: h2c\nhttp2-settings: AAMAAABkAAQAAP__\ntransfer-encoding: chunked\n\n1\nx\n0\|GET /safe/b connection: close | 200 200 |
      | the same after another request | GET /safe/a x: y\|GET /safe/b connection: upgrade, http2-settings\nupgrade: h2c\nhttp2-settings: AAMAAABkAAQAAP__\|GET /safe/c x: y | 200 200 200 |
      | two offers in a row | GET /safe/a connection: upgrade, http2-settings\nupgrade: h2c\nhttp2-settings: AAMAAABkAAQAAP__\|GET /safe/b connection: upgrade, http2-settings\nupgrade: h2c\nhttp2-settings: AAMAAABkAAQAAP__ | 200 200 |
      | an offer of WebSocket taken for an error | GET /safe/a connection: keep-alive, Upgrade\nupgrade: websocket\nsec-websocket-version: 13\|GET /safe/b x: y | 200 200 |
      | an offer of TLS with the end of the connection | GET /safe/a connection: upgrade, close\nupgrade: TLS/1.2 | 200 |
      | an offer without its token in Connection | GET /safe/a upgrade: h2c\|GET /safe/b x: y | 200 200 |
      | a tunnel that is opened | CONNECT a.example:443 x: y | 400 |
      | an announced trailer taken for an error | POST /safe/a te: trailers\ntrailer: x-sum\ntransfer-encoding: chunked\n\n1\nx\n0\nx-sum: 1\|GET /safe/b connection: close | 200 200 |
      | an expectation that is not met | POST /safe/a expect: 100-continue\ntransfer-encoding: chunked\n\n1\nx\n0\|GET /safe/b connection: close | 100 200 200 |
      | HTTP/2 without an offer | PRI * x: y | 400 |
      | a malformed request                | \x01\x02                                                                                | 400      |

  Scenario: a failure inside the daemon ends one call and no other call of its connection
    Guards against an exception while a route is looked up that closes the caller's connection.
    Given a platform fleet
    When the route lookup of d1 fails for "/safe/boom"
    And a caller of d1 writes "GET /safe/a |GET /safe/boom |GET /safe/c"
    Then it reads statuses "200 502 200"
    And d1 has logged "loop_error"

  Scenario Outline: leaving: <guards against>
    Given a platform fleet
    When upstream "u0" tells its daemon "<messages>"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" ran "<runs>"

    Examples:
      | guards against                       | messages                  | runs  |
      | an idle upstream                     | ready                     | some  |
      | work after a confirmed drain         | draining                  | none  |
      | work after a confirmed leave         | leave                     | none  |
      | a drain that a late heartbeat undoes | draining; ready           | none  |
      | a forged service                     | draining service=s1       | some  |
      | a type that is wrong                 | draining sequence="9"     | some  |
      | a state that is not known            | gone                      | some  |

  Scenario: a daemon that restarts beside a leaving upstream hands over no work
    Guards against a late heartbeat that undoes a drain, as the restarted daemon no longer knows it.
    Given a platform fleet
    When upstream "u0" tells its daemon "draining"
    And daemon d0 is killed and started again
    And upstream "u0" tells its daemon "late ready"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" ran "none"

  Scenario Outline: a fleet that is killed whole keeps a confirmed <what>
    Guards against a leave or drain that is kept in the daemons' memory only: after a restart of all
    daemons, a late heartbeat would undo it.
    Given a platform fleet
    When upstream "u0" tells its daemon "<messages>"
    And every daemon is killed and started again
    And upstream "u0" tells its daemon "late ready"
    And upstream "u2" tells its daemon "ready"
    And every daemon sees the upstreams "u2"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" ran "none"

    Examples:
      | what                                          | messages                 |
      | drain                                         | draining                 |
      | leave                                         | leave                    |
      | leave of an upstream that sent no heartbeat   | replaced; leave          |
      | leave of the upstream after one that left     | leave; replaced; leave   |

  Scenario: a fleet that is killed whole twice keeps a confirmed leave
    Guards against a leave that survives the first restart of all daemons, but not the second.
    Given a platform fleet
    When upstream "u0" tells its daemon "leave"
    And every daemon is killed and started again
    And every daemon is killed and started again
    And upstream "u0" tells its daemon "late ready"
    And upstream "u2" tells its daemon "ready"
    And every daemon sees the upstreams "u2"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" ran "none"

  Scenario Outline: a leave while the store <store> is answered <status> and obeyed
    Given a platform fleet
    When the store "<store>"
    And upstream "u0" tells its daemon "<messages>"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" was answered <status> and ran "none"

    Examples: guards against a confirmation that the fleet forgets when it is killed
      | store     | messages     | status |
      | works     | leave        | 200    |
      | works     | leave; leave | 200    |
      | refuses   | leave        | 503    |
      | is silent | leave        | 503    |

  Scenario: a leave that was not confirmed is confirmed once the store answers
    Guards against an upstream whose leave is refused for good after the store has failed once.
    Given a platform fleet
    When the store "refuses"
    And upstream "u0" tells its daemon "leave"
    And the store "answers"
    And upstream "u0" tells its daemon "leave"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" was answered 200 and ran "none"

  Scenario: a safe call that hangs is answered by a second upstream
    Guards against a caller that waits for a silent upstream while another one could answer.
    Given a platform fleet
    When a caller of d1 sends "GET /safe/1" 6 times
    And upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "GET /safe/1"
    Then the answer is 200 and all upstreams ran it 8 times

  Scenario: a call that may not be repeated waits for its only upstream
    Guards against a second run of an unsafe call whose answer is slow.
    Given a platform fleet
    When a caller of d1 sends "POST /once/1" 6 times
    And upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "POST /once/1"
    Then the answer is 504 and all upstreams ran it 7 times

  Scenario: a cold upstream uses all of its slots
    Guards against a warm-up period that keeps slots idle: two calls must run at once on two slots.
    Given a platform fleet
    When upstream "u1" tells its daemon "ready sequence=90 slots=2 coldRemaining=60s"
    And upstreams "u1" answer "hold,hold"
    And callers of d0 send "POST /peer/1" 2 times at once
    Then the answer is 504 and all upstreams ran it 2 times

  Scenario: an upstream that crashes is left out until it is back
    Guards against calls that fail because they are still sent to the crashed upstream.
    Given a platform fleet
    When upstream "u0" crashes
    And a caller of d1 sends "GET /safe/1" 6 times
    Then every answer was 200

  Scenario: a call that a hop connection lost is asked for again and runs once
    Guards against a second run or a lost answer after a connection between daemons broke.
    Given a platform fleet
    When upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "POST /once/1" while the hop connections are cut
    Then the answer is 200 and all upstreams ran it 1 times

  Scenario Outline: configuration: <guards against>
    Given a platform fleet
    When the store "<fault>"
    And the operator writes version <version> with route "/new/"
    Then every daemon has version <in_force> in force

    Examples:
      | guards against                        | fault   | version | in_force |
      | a change that is not followed         | works   | 8       | 8        |
      | an older version                      | works   | 3       | 7        |
      | history that is gone                  | forgets | 8       | 8        |
      | a record that cannot be read          | garbles | 8       | 8        |

  Scenario: every daemon's row of itself equals the row that its peers hold
    Guards against a store that no daemon reads: each daemon selects the readers of the store from its
    own rows, so with different rows each daemon may select another one.
    Given a platform fleet
    Then each daemon knows of itself what its peers know of it, with the latency of the store

  Scenario: a daemon without a configuration answers 503 and is not ready
    Guards against a daemon that takes calls before it has read a configuration.
    Given a platform fleet whose store is refusing
    When a caller of d1 sends "GET /safe/1"
    Then the answer is 503 and all upstreams ran it 0 times
    And daemon d1 is not ready

  Scenario: a stopping daemon finishes its calls and takes no new ones from peers
    Guards against a graceful stop that cuts off the calls in progress.
    Given a platform fleet
    When upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "POST /once/1" while d1 is stopped
    Then the answer is 200 and all upstreams ran it 1 times
    And daemon d1 is not ready
    And d1 refuses a handover of a peer to "u1" as "leaving"

  Scenario: a request that crashes upstreams is refused after the second death
    Guards against one request that crashes every upstream of its service in turn.
    Given a platform fleet
    When upstreams "u0,u2" answer "crash,crash"
    And a caller of d1 sends "GET /safe/poison"
    Then the answer is 502 and all upstreams ran it 2 times
    When upstreams "u0,u2" restart
    And a caller of d2 sends "GET /safe/poison"
    Then the answer is 503 and all upstreams ran it 2 times
    When a caller of d2 sends "GET /safe/other"
    Then the answer is 200 and all upstreams ran it 3 times

  Scenario: a caller that leaves cancels its safe call at the upstream
    Guards against upstreams that go on working for a caller that closed its connection.
    Given a platform fleet
    When upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "GET /safe/1" and leaves
    Then the upstream that runs it has its connection closed

  Scenario: a call whose time is up is answered although the upstream is silent
    Guards against a caller that waits beyond its deadline for an upstream that does not answer.
    Given a platform fleet
    When upstreams "u0,u2" answer "hold"
    And a caller of d1 sends "GET /safe/1"
    Then the answer is 504 and all upstreams ran it 1 times

  Scenario Outline: settings: <guards against>
    Given a platform fleet
    When the settings of d1 are read again with "<change>"
    Then d1 logs "<event>" and goes on serving

    Examples:
      | guards against                       | change             | event                                              |
      | a reload that changes nothing        | nothing            | settings_reloaded changed="" restart_needed=""     |
      | a store that moved                   | store              | settings_reloaded changed=store restart_needed=""  |
      | an address that changes under calls  | callers            | settings_reloaded changed=callers restart_needed=callers |
      | settings with findings               | findings           | settings_rejected                                  |

  Scenario Outline: settings file: <guards against>
    Then the settings file with "<old>" replaced by "<new>" gives "<finding>"

    Examples:
      | guards against               | old                    | new                     | finding          |
      | a misspelt key               | callers =              | caller =                | did you mean 'callers' |
      | a missing key                | id = "d1"              |                         | key 'id' is missing |
      | a duration without a unit    | "6s"                   | "6"                     | is not a duration |
      | a wrong type                 | ratio = 0.2            | ratio = "0.2"           | must be a number |
      | two listeners at one address | 10.1.0.8:8302          | 10.1.0.8:8304           | has the same address |
      | an address without a port    | 10.200.1.7:8309        | 10.200.1.7              | not an address   |
      | too little memory            | memory_mb = 200        | memory_mb = 15          | limits.memory_mb: must be at least 16 |
      | memory that is no number     | memory_mb = 200        | memory_mb = nan         | limits.memory_mb: must be a finite number |
      | too few descriptors          | descriptors = 4096     | descriptors = 31        | limits.descriptors: must be at least 32 |
      | a misspelt limit             | descriptors = 4096     | descriptor = 4096       | did you mean 'descriptors' |
