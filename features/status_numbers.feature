Feature: Answers whose status is no status of HTTP
  Guards against a status outside 100 to 599 that reaches a caller, or that keeps a call waiting until
  its time is over. Such an answer is a failed exchange.

  Scenario Outline: the upstream next to the daemon answers <status> with <framing>
    When an upstream answers "GET" with status "<status>" and <framing>
    Then the exchange has failed as malformed and its connection is not used again
    When an upstream answers "HEAD" with status "<status>" and <framing>
    Then the exchange has failed as malformed and its connection is not used again

    Examples:
      | status | framing   |
      | 000    | a length  |
      | 000    | chunks    |
      | 000    | no length |
      | 099    | a length  |
      | 600    | a length  |
      | 600    | chunks    |
      | 600    | no length |
      | 999    | a length  |

  Scenario Outline: on the relaying daemons a "<line>" gets status <status>
    Given a platform fleet
    When upstream "<upstream>" answers its next request with status "<status>"
    And a caller of d<entry> sends "<line>"
    Then the answer is <answer> and all upstreams ran it <runs> times

    Examples: d1 has the only upstream of "/peer/"; the calls of d0 for it cross a link
      | status | entry | upstream | line         | answer | runs |
      | 000    | 0     | u0       | GET /safe/1  | 200    | 2    |
      | 600    | 0     | u0       | GET /safe/1  | 200    | 2    |
      | 000    | 0     | u1       | POST /peer/1 | 502    | 1    |
      | 999    | 0     | u1       | POST /peer/1 | 502    | 1    |
      | 099    | 1     | u1       | POST /peer/1 | 502    | 1    |

  Scenario Outline: the client of the own interface and of the store gets status <status>
    When a server answers "<method>" with status "<status>" and <framing>
    Then the client's exchange has failed and its connection is not used again

    Examples:
      | status | method | framing  |
      | 000    | GET    | a length |
      | 000    | GET    | chunks   |
      | 000    | HEAD   | a length |
      | 099    | GET    | a length |
      | 600    | GET    | a length |
      | 999    | GET    | chunks   |
      | 999    | HEAD   | a length |

  Scenario Outline: a result with status <status> arrives over a link
    When a peer reports a result with status "<status>"
    Then it is decoded as a response "<found>"

    Examples:
      | status | found |
      | 0      | no    |
      | 99     | no    |
      | 200    | yes   |
      | 599    | yes   |
      | 600    | no    |
