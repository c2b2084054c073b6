Feature: Streams of bytes from clients and upstreams that keep to no grammar
  Guards against a connection that holds more than its limits, counts wrongly what it holds, or
  raises. The streams are repeated parts of messages, cut anywhere.

  Scenario Outline: <count> streams of <who>, seed <seed>
    Then <count> streams of seed <seed> from "<who>" leave the connection within its limits

    Examples:
      | who       | count | seed |
      | callers   | 300   | 1    |
      | upstreams | 300   | 2    |

  Scenario Outline: a body of <count> parts of <size> bytes
    Guards against a body that takes many times its size in objects, or loses or repeats a part.
    When a body of <count> parts of <size> bytes is collected
    Then it is whole, in at most <blocks> blocks

    Examples:
      | count | size | blocks |
      | 0     | 1    | 0      |
      | 1     | 1    | 1      |
      | 20000 | 1    | 3      |
      | 5000  | 7    | 5      |
      | 100   | 3000 | 50     |
      | 100   | 4096 | 100    |
      | 100   | 8192 | 100    |

  Scenario Outline: <count> connections that have <size> KiB to parse
    Guards against a turn of the loop that grows with the crowd, and a connection that is passed over.
    When <count> connections wait for turns with <size> KiB each
    Then <turns> turns parse all, with at most 32 KiB in each and the connections in their order

    Examples:
      | count | size | turns |
      | 1     | 32   | 1     |
      | 3     | 8    | 1     |
      | 8     | 64   | 16    |
      | 100   | 8    | 25    |
      | 90    | 16   | 45    |
