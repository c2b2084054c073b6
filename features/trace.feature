Feature: From the id of a failed request to its cause
  Guards against a failure that logs cannot explain, or that they explain wrongly.

  Scenario Outline: a fleet's logs: <guards against>
    Given a platform fleet
    When upstreams "u0,u2" answer "<script>"
    And a caller of d1 sends "<line>"
    Then the answer's status is <status> and the trace of its id ends with "<cause>"
    And the causes of the logs count it as "<cause>"

    Examples:
      | guards against              | script    | line         | status | cause           |
      | an unexplained refusal      | shed,shed | POST /once/1 | 503    | shed            |
      | an unexplained unknown end  | reset     | POST /once/1 | 502    | connection-lost |
      | an unexplained spoilt answer | garbled  | POST /once/1 | 502    | bad-answer      |
      | an unexplained timeout      | hold      | GET /safe/1  | 504    | timeout         |
      | an upstream's own failure   | error     | POST /once/1 | 500    | upstream-failed |
      | an unexplained missing route | whole    | GET /none/1  | 404    | no-route        |

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
      | events left out that are not told       | causes         | 0    | 3 events were left out                |
      | output that a program cannot read       | causes --format=json | 0 | "left_out":3                        |
