Feature: Claims on idempotency keys
  Guards against a booking that is executed twice, and against calls that are refused for no reason.

  # Commands: submit DAEMON CALL [FINGERPRINT [MS_LEFT]] with the same key each time; settle [DAEMON..]
  # delivers all effects; batch DAEMON prepares an append and append DAEMON FATE delivers it: landed,
  # lost (written, but the answer is lost), vanished (not written, and no answer) or late (no answer,
  # written at "land"); finish CALL RESULT; restart DAEMON; copy and restore the log; down and up switch the log or a daemon's
  # answers; wait MINUTES; empty replaces the log by an empty one, regrow N appends N empty records,
  # expire drops all records; fill DAEMON N claims N other keys.

  Scenario Outline: <case>
    Given deciders A, B and C that share a model log
    When the script "<script>" runs
    Then the calls end as "<outcomes>"

    Examples: One claim
      | case                                    | script                                                       | outcomes                                    |
      | a first submission starts               | submit A x; settle                                           | x=granted                                   |
      | two daemons at once start one           | submit A x; submit B y; settle                               | x=granted                                   |
      | two calls of one daemon start one       | submit A x; submit A y; settle                               | x=granted                                   |
      | another request with the key is refused | submit A x; settle; submit B y g; settle                     | x=granted, y=not-run:key-mismatch           |
      | deadline passed on arrival              | submit A x f 0; settle                                       | x=not-run:deadline                          |
      | a full key table refuses new keys       | fill A MAX_KEYS; wait 1; settle; submit A x; settle          | x=not-run:claims-full                       |

    Examples: Resubmission
      | case                                     | script                                                       | outcomes                                    |
      | same daemon gets the retained response   | submit A x; settle; finish x ran; submit A y; settle         | x=finished ran, y=ran                       |
      | same daemon waits for the running call   | submit A x; settle; submit A y; settle; finish x ran; settle | x=finished ran, y=ran                       |
      | other daemon waits for the running call  | submit A x; settle; submit B y; settle; finish x ran; settle | x=finished ran, y=ran                       |
      | other daemon gives up waiting as unknown | submit A x; settle; submit B y f 200; settle                 | x=granted, y=unknown:timeout                |
      | a call that did not run is claimed again | submit A x; settle; finish x not-run; submit B y; settle     | x=finished not-run, y=granted               |
      | an unknown outcome is never run again    | submit A x; settle; finish x unknown; submit B y; settle     | x=finished unknown, y=unknown:key-holder-gone |
      | the holder does not answer               | submit A x; settle; down A; submit B y; settle               | x=granted, y=unknown:key-holder-gone        |
      | restarted holder asked by another daemon | submit A x; settle; restart A; submit B y; settle            | x=granted, y=unknown:key-holder-gone        |
      | restarted holder asked itself            | submit A x; settle; restart A; settle; submit A y; settle    | x=granted, y=unknown:key-holder-gone        |
      | a refused claim extends the retention    | submit A x; settle; finish x ran; wait 14; submit C y; settle; wait 0.6; settle; wait 1; submit A z; settle | x=finished ran, y=ran, z=unknown:key-holder-gone |
      | a key is free after its retention        | submit A x; settle; finish x ran; wait 16; submit A y; settle | x=finished ran, y=granted                  |

    Examples: Failures of the log
      | case                                       | script                                                       | outcomes                                    |
      | log down                                   | down log; submit A x; settle                                 | x=not-run:log-unavailable                   |
      | lost answer of an append that landed       | submit A x; batch A; append A lost; settle                   | x=granted                                   |
      | lost append is sent again                  | submit A x; batch A; append A vanished; settle               | x=granted                                   |
      | append and its repetition both land        | submit A x; batch A; append A late; settle; land; settle     | x=granted                                   |
      | claim that lands after the deadline        | submit A x f 100; batch A; append A late; down log; wait 1; settle; land; up log; settle | x=not-run:log-unavailable |
      | late claim is released for a resubmission  | submit A x f 100; batch A; append A late; down log; wait 1; settle; land; up log; submit B y; settle | x=not-run:log-unavailable, y=granted |
      | copy of a released claim is released again | submit A x; batch A; append A late; settle; finish x not-run; settle; land; submit B y; settle | x=finished not-run, y=granted |
      | pause between claim and start              | submit A x; batch A; wait 1; settle                          | x=not-run:deadline                          |
      | pause between append and start             | submit A x; batch A; append A landed; wait 1; settle         | x=not-run:deadline                          |
      | the stream was replaced by an empty one    | submit A x; settle; empty; submit A y g; submit B z; settle  | x=granted, y=not-run:key-mismatch, z=not-run:claims-incomplete |
      | the stream was replaced and grew again     | submit A x; settle; empty; regrow 9; submit B z; settle      | x=granted, z=not-run:claims-incomplete      |
      | a claim is lost that only its daemon read  | copy; submit A x; settle A; restore; submit B y; settle B C  | x=granted, y=not-run:claims-incomplete      |
      | key is free after the refusal time         | submit A x; settle; empty; submit B y; settle; wait 1; settle; wait 16; submit B z; settle | x=granted, y=not-run:claims-incomplete, z=granted |
      | records expired before they were read      | settle; submit A x; settle A; regrow 2; expire; regrow 1; submit B y; settle | x=granted, y=not-run:claims-incomplete |
      | expired records older than the retention   | submit A x; settle; finish x ran; expire; wait 25; regrow 1; wait 21; submit B y; settle | x=finished ran, y=granted |
      | new daemon finds expired records           | submit A x; settle; regrow 1; expire; regrow 1; restart B; settle; submit B y; settle | x=granted, y=not-run:claims-incomplete |
      | new daemon reads the mark of a lost stream | submit A x; settle; empty; submit B y; settle; restart C; settle; submit C z; settle | x=granted, y=not-run:claims-incomplete, z=not-run:claims-incomplete |

  Scenario: random interleavings of several daemons
    Guards against a key that is started twice in an order of events that the tables do not list.
    When 150 random interleavings of 60 steps run
    Then no key was started twice

  Scenario Outline: <case>
    Given a store of outcomes with room for <room> response bytes
    When calls "<calls>" of 4 bytes each finish
    Then resubmissions get "<replies>"

    Examples: calls marked ! did not run, calls marked ? are still running
      | case                                        | room | calls      | replies                          |
      | responses within the limit are retained     | 8    | a b        | a=ran+body b=ran+body            |
      | the oldest body is dropped, not its outcome | 8   | a b c      | a=ran b=ran+body c=ran+body      |
      | a body above the limit is not retained      | 3    | a          | a=ran                            |
      | calls without a response need no room       | 4    | a b! c?    | a=ran+body b=not-started c=running |
      | a claim of an earlier process               | 4    |            | z=unknown                        |

  Scenario: appends of one daemon are limited
    Guards against one append for each call, which overloads the log, and against calls that wait.
    Given deciders A, B and C that share a model log
    When a call with a new key arrives at A every 15 ms for 3 seconds
    Then A appended at least 60 and at most 72 records and every call started
