Feature: The operators' client
  Guards against publishes that happen twice, are lost, or end with a wrong or unclear result.

  Scenario Outline: publish when <case>
    Given a log that holds the example configuration "lysknude" as version 1 by "alice"
    When an operator publishes a changed folder while "<case>"
    Then the result has code <code> and <records> new records and its text has "<text>"

    Examples:
      | case                              | code | records | text                                       |
      | nothing fails                     | 0    | 1       | version 2 in force on 2 daemons            |
      | an applied append is not answered | 0    | 1       | version 2 in force on 2 daemons            |
      | a lost append is not answered     | 0    | 1       | version 2 in force on 2 daemons            |
      | two appends are refused           | 0    | 1       | version 2 in force on 2 daemons            |
      | every append is refused           | 5    | 0       | nothing was published                      |
      | reads fail after the append       | 6    | 1       | is unknown                                 |
      | reads fail                        | 5    | 0       | log service unreachable                    |
      | another publish comes first       | 3    | 2       | version 2 by bob was accepted first        |
      | another parent is required        | 3    | 0       | version 1 by alice was accepted first      |
      | a daemon stays behind             | 4    | 1       | not in force on: d2                        |
      | a daemon has another digest       | 4    | 1       | not in force on: d2                        |
      | the daemon does not answer        | 4    | 1       | version 2 accepted, but daemon             |
      | the daemons are ahead of the log  | 5    | 0       | the log was replaced                       |
      | the folder did not change         | 0    | 0       | version 1 already holds these documents    |

  Scenario Outline: progress of a publish: <guards against>
    Given a publish of version 2 whose daemons are asked at "<asked>"
    Then it reports at "<reported>" on standard error "<text>"

    Examples:
      | guards against                          | asked                                    | reported | text                                                |
      | a report of every short wait            | 0.2 d1; 0.4 d1; 0.6                      |          |                                                     |
      | a wait of many seconds without a report | 2.0 d1                                   | 2.0      | version 2 accepted, waiting 2 s for: d1 (version 1) |
      | a daemon shown without its state        | 1.0 !d1                                  | 1.0      | version 2 accepted, waiting 1 s for: d1 (no answer) |
      | the same line at each question          | 1.0 d1; 1.2 d1; 3.0 d1                   | 1.0      | version 2 accepted, waiting 1 s for: d1 (version 1) |
      | a report that is not repeated           | 1.0 d1; 6.1 d1                           | 1.0 6.1  | version 2 accepted, waiting 6 s for: d1 (version 1) |
      | a daemon that is no longer missing      | 1.0 d1 !d2; 1.4 !d2                      | 1.0 1.4  | version 2 accepted, waiting 1 s for: d2 (no answer) |
      | a line that names the whole fleet       | 1.0 a b c d e f g h i j k l              | 1.0      | i (version 1), j (version 1) and 2 more             |
      | a failing daemon that is not named      | 1.0 ?                                    | 1.0      | version 2 accepted, waiting 1 s: daemon 127.0.0.1:4 |

  Scenario Outline: output of a publish that waits as <format>
    Guards against progress lines on standard output, which programs read.
    Given a log that holds the example configuration "lysknude" as version 1 by "alice"
    When an operator publishes a changed folder in <format> while a daemon stays behind
    Then standard error names "d2 (version 1)" and standard output has only the result in <format>

    Examples:
      | format |
      | text   |
      | json   |

  Scenario Outline: <arguments> ends with code <code>
    Guards against wrong exit codes and tracebacks for mistakes on the command line.
    When the client runs with "<arguments>"
    Then it ends with code <code> and its output has "<text>"

    Examples:
      | arguments                                  | code | text                                   |
      |                                            | 2    | usage:                                 |
      | chek FOLDER                                | 2    | unknown command 'chek'                 |
      | check                                      | 2    | usage: agatecross check FOLDER         |
      | check FOLDER extra                         | 2    | usage: agatecross check FOLDER         |
      | check FOLDER --formt=json                  | 2    | Unknown command line flag 'formt'      |
      | check FOLDER --format=xml                  | 2    | usage:                                 |
      | log --log=nowhere                          | 2    | 'nowhere' is not an address            |
      | check nowhere                              | 2    | No such file or directory              |
      | check FOLDER                               | 0    | no findings                            |
      | log --log=127.0.0.1:1                      | 5    | log service unreachable                |
      | diff FOLDER --log=127.0.0.1:1 --format=json | 5   | "exit_code":5                          |
      | publish FOLDER --log=127.0.0.1:1           | 5    | log service unreachable                |
      | status --daemon=127.0.0.1:1                | 6    | daemon 127.0.0.1:1                     |
      | explain aarhus-a /vans/7 FOLDER            | 0    | services.van-booking.timeout_ms = 3000 (overlays/aarhus-a.toml:4) |
      | explain koebenhavn-a /vans/7 FOLDER        | 0    | services.van-booking.timeout_ms = 5000 (overlays/koebenhavn-a.toml:4) |
      | explain aarhus-a /vans FOLDER --format=json | 0   | {"key":"routes.van-booking.prefix","value":"/vans","file":"base.toml","line":33} |
      | explain aarhus-a /nothing FOLDER           | 1    | no route for '/nothing'                |
      | explain mars /vans FOLDER                  | 2    | known: aalborg-b, aarhus-a             |

  Scenario Outline: five faults are listed at once as <format>
    Guards against a check that stops at the first fault or names a wrong place.
    Given a copy of the example configuration "lysknude" with five faults
    When the client runs with "check FOLDER --format=<format>"
    Then it ends with code 1 and lists exactly these findings as "<format>"
      | file                   | line | key                                  | code                |
      | base.toml              | 14   | services.case-portal.hedge_quantle   | unknown-key         |
      | base.toml              | 18   | services.van-booking.attempts        | range               |
      | base.toml              | 34   | routes.van-booking.service           | no-such-service     |
      | overlays/aalborg-b.toml | 4   | services.van-booking.timeout_ms      | type                |
      | overlays/aarhus-a.toml | 4    |                                      | syntax              |

    Examples:
      | format |
      | text   |
      | json   |

  Scenario: operators and daemons through faults of the log
    Guards against publishes that are lost or accepted twice, and daemons that lose their version,
    while the log loses answers, fails or is replaced by an empty one.
    Given a fleet of 1 upstream for each of "case-portal,van-booking" at "aarhus-a,koebenhavn-a"
    When the example configuration "lysknude" is published
    Then the client ends with code 0
    When three operators publish at once on version 1
    Then the exit codes are "0, 3, 3" and the refused publishes name the winner
    And every daemon has version 2
    When an operator publishes while answers of the log are lost
    Then the client ends with code 0
    And every daemon has version 3
    And the log holds one publish by "dora"
    When a publish with a bad overlay is appended without the client's check
    Then the log shows it as rejected with findings at "overlays/aalborg-b.toml:3, overlays/aalborg-b.toml:4"
    And every daemon has version 3
    When the log fails and half of the daemons are replaced
    Then every daemon has version 3
    And the client's "log" ends with code 5 and shows "log service unreachable"
    And the client's "status" ends with code 0 and shows "ready 3"
    When the log works again and is empty
    And an operator publishes until the log holds the version in force
    Then every daemon has version 4
    And the client's "diff FOLDER" ends with code 0 and shows "no difference from version 4"
    And the client's "diff EXAMPLE" ends with code 0 and shows "+timeout_ms = 3000"
    And the client's "diff EXAMPLE --format=json" ends with code 0 and shows ""change":"changed""
    And the client's "explain aarhus-a /vans" ends with code 0 and shows "3300 (overlays/aarhus-a.toml:2)"
    And the client's "publish EXAMPLE --parent=3" ends with code 3 and shows "the newest version is 4"
    And the client's "log" ends with code 0 and shows "snapshot version 3"
