Feature: From the id of a failed request to its cause
  Guards against a failure that logs cannot explain, or that they explain wrongly.

  Scenario Outline: a fleet's logs: <guards against>
    Given a platform fleet
    When upstreams "u0,u2" answer "<script>"
    And a caller of d1 sends "<line>"
    Then the answer's status is <status> and the trace of its id ends with "<cause>"
    And the causes of the logs count it as "<cause>"

    Examples:
      | guards against                 | script    | line         | status | cause           |
      | an unexplained refusal         | shed,shed | POST /once/1 | 503    | shed            |
      | an unexplained unknown outcome | reset     | POST /once/1 | 502    | connection-lost |
      | an unexplained bad answer      | garbled   | POST /once/1 | 502    | bad-answer      |
      | an unexplained timeout         | hold      | GET /safe/1  | 504    | timeout         |
      | an upstream's own failure      | error     | POST /once/1 | 500    | upstream-failed |
      | an unexplained missing route   | whole     | GET /none/1  | 404    | no-route        |

  Scenario Outline: the deciding line: <guards against>
    Given the logs of several daemons in one file
      """
         1.0 d0 time=101.0 event=daemon_started daemon=d0
         1.5 d0 time=101.5 event=config_in_force version=4 was=0
         1.6 d1 time=101.6 event=config_in_force version=5 was=4
         1.7 d0 time=101.7 event=endpoint_learnt daemon=d1 service=s0 state=ready leaving=False
         1.8 d0 time=101.8 event=endpoint_learnt daemon=d1 service=s0 state=ready leaving=True
         2.0 d1 time=102.0 event=handover_failed call_id=refused service=s0 reason=overloaded load=9
         2.1 d0 time=102.1 event=call call_id=refused service=s0 outcome=not-run reason=overloaded upstream=d1 status=503
         2.2 d0 time=102.2 event=call_refused call_id=route host=h reason=no-route version=4 status=404
         2.3 d0 time=102.3 event=call call_id=none service=s0 outcome=not-run reason=no-upstream status=503
         2.4 d0 time=102.4 event=config_in_force version=5 was=4
         3.0 d1 time=103.0 event=upstream_died instance=i1
         3.1 d0 time=103.1 event=call call_id=died service=s0 outcome=unknown reason=connection-lost upstream=d1 status=502
         4.0 d0 time=104.0 event=peers_changed lost=d1 gained=""
         4.1 d0 time=104.1 event=call call_id=killed service=s0 outcome=unknown reason=connection-lost upstream=d1 status=502
         5.0 d1 time=105.0 event=daemon_started daemon=d1
         5.1 d1 time=105.1 event=call_refused call_id=fresh reason=no-configuration version=0 status=503
         6.0 d0 time=106.0 event=daemon_leaving pending=3
         6.1 d0 time=106.1 event=call call_id=left service=s0 outcome=unknown reason=cancelled upstream=d1 status=502
         9.9 d0 time=109.99 event=call call_id=cut service=s0 outcome=unknown reason=cancelled upstream=d1 status=502
        10.0 d0 time=110.0 event=daemon_stopped daemon=d0
        11.0 d2 time=111.0 event=call call_id=half service=s0 outcome=unknown reason=timeout took_ms=5   11.0 d1 time=111.0 event=call call_id=whole service=s0 outcome=not-run reason=shed status=503
        12.0 d2 time=112.0 event=call call_id=quoted service=s0 outcome=not-run reason=shed target="/x time=1 event=call call_id=forged reason=timeout" status=503
        13.0 d2 time=113.0 event=call call_id=error service=s0 outcome=ran reason="" upstream=d1 status=500 left_out=7
        14.0 d2 time=114.0 event=call call_id=short service=s0 outcome=ran reason="" status=2   11.0 d1 time=114.0 event=daemon_leaving pending=0
        15.0 d2 time=115.0 event=call call_id=inside outcome=not-run reason=shed target="/x   15.0 d1 time=115.0 event=call call_id=behind outcome=ran reason="" status=200
        16.0 d1 time=116.0 event=handover_failed call_id=outer.1 service=s1 reason=overloaded load=9
        16.1 d1 time=116.1 event=handover_failed call_id=outer.2 service=s1 reason=shed
        16.2 d2 time=116.2 event=call call_id=outer.2 service=s1 outcome=ran reason="" status=200
        16.3 d2 time=116.3 event=call call_id=outer service=s0 outcome=ran reason="" status=500
      """
    When the client runs "trace <id>" on it
    Then it ends with code <code> and shows "<text>"

    Examples:
      | guards against                              | id      | code | text                                                         |
      | a line without the daemon that wrote it     | refused | 0    | LOG:7: d0: event=call                                     |
      | a refusal traced to its report only         | refused | 0    | cause: overloaded: every upstream that was asked had a queue longer than the objective (LOG:6) |
      | a missing route without the version's age   | route   | 0    | LOG:2: d0: event=config_in_force version=4                |
      | a missing route without the next version    | route   | 0    | LOG:10: d0: event=config_in_force version=5               |
      | another daemon's version taken for its own  | route   | 0    | cause: no-route: the configuration in force had no route for the call (LOG:2) |
      | an upstream that left and is not named      | none    | 0    | (LOG:5) |
      | a lost upstream that is not named           | died    | 0    | (LOG:11) |
      | a killed daemon that is not named           | killed  | 0    | (LOG:15) |
      | a start that is not named                   | fresh   | 0    | (LOG:15) |
      | a caller blamed for a daemon's stop         | cut     | 0    | cause: cut: the caller's daemon stopped before the call ended (LOG:20) |
      | a stop blamed for a caller that left        | left    | 0    | cause: cancelled: the caller closed its connection (LOG:18) |
      | a cut line read with another line's values  | half    | 0    | cause: timeout                                               |
      | a value that was cut off taken for whole    | half    | 0    | reason=timeout\ncause                                        |
      | a served call whose status was cut off      | short   | 6    | the end of the call was not logged                           |
      | a line lost behind a cut quoted value       | behind  | 0    | cause: served                                                |
      | a cut quote that takes in the next line     | inside  | 0    | reason=shed\ncause: shed                                     |
      | a run's refused call whose end was left out | outer   | 0    | cause: inner:overloaded: a call made by the upstream, whose end was not logged: every upstream that was asked had a queue longer than the objective (LOG:26) |
      | a line lost behind a cut one                | whole   | 0    | cause: shed                                                  |
      | a call that a caller's target invents       | forged  | 1    | no event of call 'forged' in 1 files                         |
      | an end that the daemons may have left out   | gone    | 1    | the daemons left out 7 events                                |

  Scenario: events of two processes whose files have the same name are not mixed
    Guards against a stop of one daemon that is given as the cause of another daemon's call.
    Given a log "d0/daemon.log" with
      """
      time=1.0 event=daemon_started daemon=d0
      time=3.0 event=call call_id=a service=s0 outcome=unknown reason=cancelled status=502
      """
    And a log "d1/daemon.log" with
      """
      time=1.0 event=daemon_started daemon=d1
      time=3.0 event=daemon_stopped daemon=d1
      """
    When the client runs "trace a" on them
    Then it ends with code 0 and shows "cause: cancelled"

  Scenario Outline: failed calls drawn by seed: <guards against>
    Given a log with
      """
      time=2.1 event=call call_id=a service=s0 outcome=not-run reason=overloaded status=503
      time=2.2 event=call call_id=b.1 service=s1 outcome=unknown reason=timeout status=504
      time=2.3 event=call call_id=b service=s0 outcome=ran reason="" status=500
      time=2.4 event=call call_id=c service=s0 outcome=ran reason="" status=200
      time=2.5 event=call call_id=e service=s0 outcome=unknown reason=timeout status=504
      """
    When <count> failed calls are drawn with seed <seed>
    Then <drawn> of <failed> are drawn, the same both times, and the table has "<rows>"

    Examples:
      | guards against                     | count | seed | drawn | failed | rows                                                     |
      | a served call or a run's call drawn | 20  | 1    | 3     | 3      | a 503 overloaded, b 500 inner:timeout, e 504 timeout     |
      | a draw that differs each time      | 2     | 1    | 2     | 3      |                                                          |

  Scenario Outline: lines: <guards against>
    Given a log with
      """
      time=1.0 event=config_in_force version=4 was=0
      time=2.0 event=handover_failed call_id=a service=s0 reason=overloaded load=9
      time=2.1 event=call call_id=a service=s0 outcome=not-run reason=overloaded status=503
      time=2.2 event=call call_id=b.1 service=s1 outcome=unknown reason=timeout status=504
      time=2.3 event=call call_id=b service=s0 outcome=ran reason="" status=500
      time=2.4 event=call call_id=c service=s0 outcome=ran reason="" target="/x?y=\"z\"" status=200
      time=2.5 event=handover_failed call_id=d service=s0 reason=timeout left_out=3
      not an event
      time=x event=call call_id=e
      """
    When the client runs "<arguments>" on it
    Then it ends with code <code> and shows "<text>"

    Examples:
      | guards against                          | arguments      | code | text                                  |
      | a refusal without its load              | trace a        | 0    | load=9                                |
      | a refusal without its cause             | trace a        | 0    | cause: overloaded                     |
      | a parent blamed for its failed call     | trace b        | 0    | cause: inner:timeout                  |
      | a served call shown as failed           | trace c        | 0    | cause: served                         |
      | an end that was left out                | trace d        | 6    | the end of the call was not logged    |
      | an id that is not there                 | trace nowhere  | 1    | no event of call 'nowhere' in 1 files |
      | lines that cannot be read               | trace e        | 1    | no event of call 'e'                  |
      | refusals that are not counted           | causes         | 0    | 1 s0 not-run overloaded               |
      | left-out events that are not reported   | causes         | 0    | 3 events were left out                |
      | output that a program cannot read       | causes --format=json | 0 | "left_out":3                        |
