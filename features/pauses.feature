Feature: Pauses of a daemon
  Guards against a daemon that was paused or suspended for some seconds and then acts on a time limit
  that ran out meanwhile: it would start work that nobody waits for any more.

  # Events: tick and read with a time in milliseconds of a clock that goes on during a suspension.
  Scenario Outline: age of what is read: <guards against>
    When a daemon started at 0 ticks and reads at "<events>"
    Then what it reads has waited "<waited>" ms

    Examples:
      | guards against                              | events                              | waited      |
      | fresh data taken for old                    | tick 100; read 150; tick 200        | 0           |
      | a late loop taken for a pause               | tick 100; read 400                  | 0           |
      | data read before the first tick             | tick 100; read 5100                 | 4900        |
      | data read after the first tick              | tick 100; tick 5100; read 5150      | 4900        |
      | all later data taken for old                | tick 100; tick 5100; tick 5200; read 5210 | 0     |
      | a second pause that hides behind the first  | tick 100; tick 2100; tick 2200; read 4200 | 1900  |

  Scenario Outline: a <daemon> that is paused starts no call whose time is up: <line>
    Given a platform fleet
    When a caller of d1 has sent "<line>" with 500 ms left, and d1 and its peers are paused for 900 ms
    Then the answer is 503 and all upstreams ran it 0 times

    Examples: guards against a run that begins after its caller has given up
      | daemon       | line          |
      | caller's one | POST /once/1  |
      | caller's one | GET /safe/1   |

  Scenario Outline: a handover to a daemon that was paused for <pause> ms with <left> ms left is <result>
    Given a platform fleet
    When a handover to upstream "u0" with <left> ms left arrives during a pause of <pause> ms
    Then it ended as "<result>", and upstream "u0" began <runs> runs

    Examples: guards against a permission of the entry daemon that ran out in the receive buffer
      | pause | left | result   | runs |
      | 900   | 500  | deadline | 0    |
      | 900   | 5000 | ran      | 1    |
      | 0     | 500  | ran      | 1    |
