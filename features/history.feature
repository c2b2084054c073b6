Feature: History checker
  Guards against fault runs that pass because the checker overlooks a violation, and against
  violations reported for permitted events.

  # Events: KIND SECONDS and the fields of the kind: publish VERSION DIGEST; inforce DAEMON VERSION
  # DIGEST [ROUTED_SERVICES SERVICES]; undisturbed DAEMONS; sent CALL REQUEST DAEMON get|post, where a
  # post has an idempotency key; started REQUEST UPSTREAM; answered CALL ECHOED_REQUEST [cut], where cut
  # is a truncated response; refused CALL; broken CALL; leaving UPSTREAM; returned UPSTREAM; shutdown
  # DAEMON.
  Scenario Outline: <case>
    Given a clean history
    When the forged events "<events>" are added
    Then the violations are "<violations>"

    Examples: one forged violation each
      | case                                         | events                                               | violations |
      | nothing is forged                            |                                                      |            |
      | I1 a daemon goes back to an older version    | inforce 21 d1 1 one                                  | I1         |
      | I2 a route names an unknown service          | inforce 21 d2 2 two vans,cases vans                  | I2         |
      | I3 part of a version is in force             | inforce 21 d2 2 part                                 | I3         |
      | I3 a version that nobody published           | inforce 21 d2 3 three                                | I3         |
      | I4 the response of another request           | sent 21 c9 r9 d1 get; answered 22 c9 r1              | I4         |
      | I4 a truncated response                      | sent 21 c9 r9 d1 get; answered 22 c9 r9 cut          | I4         |
      | I4 a response to nobody's call               | answered 22 c9 r9                                    | I4         |
      | I5 a refused request was executed            | sent 21 c9 r9 d1 get; refused 22 c9; started 23 r9 u1 | I5        |
      | I6 a resent booking is executed twice        | sent 21 c9 r1 d2 post; started 22 r1 u2              | I6         |
      | I7 work starts at a leaving upstream         | leaving 21 u1; sent 26 c9 r9 d1 get; started 27 r9 u1 | I7        |
      | I8 a shutdown cuts a call off                | sent 21 c9 r9 d1 get; shutdown 22 d1; broken 23 c9   | I8         |
      | I9 a daemon stays behind                     | publish 21 3 three; inforce 22 d1 3 three; undisturbed 30 d1,d2 | I9 |

    Examples: permitted events next to each violation
      | case                                          | events                                               | violations |
      | a retried idempotent request starts twice     | sent 21 c9 r9 d1 get; started 22 r9 u1; started 23 r9 u2; answered 24 c9 r9 |  |
      | a refused resubmission of an executed booking | sent 21 c9 r1 d2 post; refused 22 c9                |            |
      | an upstream that came back                    | leaving 21 u1; returned 22 u1; sent 26 c9 r9 d1 get; started 27 r9 u1 |  |
      | work just after the announcement              | leaving 21 u1; sent 21 c9 r9 d1 get; started 22 r9 u1 |           |
      | a call after the shutdown began               | shutdown 21 d1; sent 22 c9 r9 d1 get; broken 23 c9   |            |
      | a killed daemon cuts calls off                | sent 21 c9 r9 d1 get; broken 23 c9                   |            |
      | a version too new to be in force everywhere   | publish 21 3 three; undisturbed 24 d1,d2             |            |
