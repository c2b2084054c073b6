Feature: Records and messages from outside a daemon
  Guards against one unknown word or malformed record that stops a daemon or the whole fleet.

  Scenario Outline: kind of a route: <guards against>
    When a configuration has a route of the kind "<kind>"
    Then its requests run "<runs>", and the table names <unknown> routes of an unknown kind

    Examples:
      | guards against                                 | kind     | runs | unknown |
      | a read that is never repeated                  | safe     | safe | 0       |
      | a whole fleet without a configuration          | download | safe | 0       |
      | an effect that happens twice                   | unsafe   | once | 0       |
      | a keyed call that is repeated without its key  | keyed    | once | 0       |
      | a version refused for one word of a later kind | stream   | once | 1       |
      | repeats of a kind that nobody named            |          | once | 1       |

  Scenario Outline: configuration record: <guards against>
    When the configuration's "<field>" becomes "<value>"
    Then decoding gives "<result>"

    Examples: a value is JSON; "-" removes the field
      | guards against                              | field                  | value                       | result    |
      | a field of a later version                  | limits.maxStreams      | 9                           | version 7 |
      | a word of a later version in a route        | routes.0.mirror        | {"to": ["s0"]}              | version 7 |
      | a route that is dropped in silence          | routes.0.host          | -                           | unreadable |
      | a limit that is taken for zero              | limits.maxBodyBytes    | "many"                      | unreadable |
      | a time without a unit                       | routes.0.timeout       | "900"                       | unreadable |
      | a time that is no number                    | routes.0.timeout       | "nans"                      | unreadable |
      | a route that leads nowhere                  | routes.0.service       | null                        | unreadable |
      | a version that is no number                 | version                | "rx"                        | unreadable |
      | a version too long to convert               | version                | "r99999999999999999999"     | unreadable |

  Scenario Outline: routes kept from the last version: <guards against>
    When a configuration with the routes "<after>" follows one with the routes "<before>"
    Then its table is the one that a daemon compiles that has just started

    Examples: prefix, kind and service of each route
      | guards against                            | before                    | after                     |
      | a changed route that stays as it was      | /k/ safe s0; /m/ safe s0  | /k/ safe s1; /m/ safe s0  |
      | a removed route that is still served      | /k/ safe s0; /m/ safe s0  | /k/ safe s0               |
      | a route that the next version leaves out  | /k/ safe s0               | /m/ safe s0; /k/ safe s0  |
      | an unknown kind reported only once        | /k/ stream s0             | /k/ stream s0             |
      | a kind that is known again                | /k/ stream s0             | /k/ unsafe s0             |

  Scenario: a fleet serves under a configuration with a kind that it does not know
    Guards against a record that the store accepted and that every daemon refuses, so that the fleet
    answers 503 for the whole day.
    Given a platform fleet
    When the operator writes version 8 of one more route, a "stream" at "/later/"
    Then every daemon has version 8 in force
    And d1 has logged "config_kind_unknown" with "kind=stream"
    When a caller of d1 sends "GET /later/1"
    Then the answer is 200 and all upstreams ran it 1 times

  Scenario: an unreadable configuration is reported once and leaves the version in force
    Guards against a log that each daemon fills while the store goes on serving the record.
    Given a platform fleet
    When the same unreadable configuration is written and read 2 times
    And the operator writes version 8 with route "/new/"
    Then every daemon has version 8 in force
    And the daemons that read it have logged "config_malformed" once each, with version 7 in force

  Scenario Outline: the log service answers: <guards against>
    When the log service answers <operation> with status <status> and body "<body>"
    Then the operation ends as "<end>"

    Examples:
      | guards against                                  | operation | status | body                                        | end             |
      | an append that is not recognized                | append    | 200    | {"offset": 3}                               | done            |
      | a publish repeated after a refusal that was none | append   | 500    |                                             | outcome unknown |
      | a gateway that lost the answer                  | append    | 502    |                                             | outcome unknown |
      | a time-out behind a gateway                     | append    | 504    |                                             | outcome unknown |
      | a written record whose answer is garbled        | append    | 200    | {"off                                       | outcome unknown |
      | an overload taken for a possible write          | append    | 429    |                                             | unavailable     |
      | a refusal taken for a possible write            | append    | 503    |                                             | unavailable     |
      | a record that ends the reader's process         | read      | 200    | {"entries":[{"offset":0,"data":"%"}],"first":0,"end":1} | unavailable |
      | a page that is no text                          | read      | 200    | \xff                                        | unavailable     |
