Feature: Fields of messages from other writers
  Guards against a message of another writer that is taken for a whole one, such as a heartbeat without
  its zone that revives an upstream after its leave. The fields are those of the message types.

  Scenario Outline: <messages> with one field <fault>
    Then <count> <messages> of seed <seed> with one field <fault> are unreadable

    Examples:
      | messages       | fault           | count | seed |
      | heartbeats     | missing         | 100   | 1    |
      | heartbeats     | of another type | 300   | 2    |
      | heartbeats     | out of range    | 50    | 3    |
      | leave requests | of another type | 50    | 4    |
      | leave requests | out of range    | 20    | 5    |
      | configurations | missing         | 200   | 6    |
      | configurations | of another type | 400   | 7    |

  Scenario Outline: a heartbeat after a confirmed leave: <guards against>
    Given a platform fleet
    When upstream "u0" tells its daemon "ready; leave"
    And upstream "u0" sends its daemon a heartbeat of a later start with "<field>" as <value>
    Then the heartbeat is answered with <status>
    When a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" ran "<runs>"

    Examples: a value is JSON; "-" removes the field
      | guards against              | field   | value | status | runs |
      | a leave that binds for ever | zone    | "z"   | 200    | some |
      | a missing field             | zone    | -     | 400    | none |
      | a field of another type     | version | 7     | 400    | none |
      | an empty field              | zone    | ""    | 400    | none |

  # The body is JSON; the request is the last part of the path.
  Scenario Outline: refused requests of an upstream: <guards against>
    Given a platform fleet
    When upstream "u0" sends its daemon <count> times the <request> request "<body>"
    Then each is answered with <status>
    And d0 has counted <counted> in 'agatecross_upstream_requests_refused_total{request="<request>"}'
    And d0 has written between <least> and <most> lines of "upstream_request_refused" for "<request>"

    Examples:
      | guards against                         | request   | body                 | count | status | counted | least | most |
      | an upstream that is ignored in silence | heartbeat | {}                   | 1     | 400    | 1       | 1     | 1    |
      | a leave that is ignored in silence     | leave     | {"born":null}        | 1     | 400    | 1       | 1     | 1    |
      | a log that an upstream fills           | heartbeat | {"state":            | 60    | 400    | 60      | 5     | 20   |
      | a line as long as what was sent        | heartbeat | LONG                 | 2     | 400    | 2       | 2     | 2    |
      | a request that is not refused          | leave     | {"born":7}           | 2     | 200    | 0       | 0     | 0    |
