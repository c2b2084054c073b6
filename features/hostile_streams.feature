Feature: Streams of bytes from clients and upstreams that keep to no grammar
  Guards against a connection that holds more than its limits, counts wrongly what it holds, or
  raises. The streams are repeated parts of messages, cut anywhere.

  Scenario Outline: <count> streams of <who>, seed <seed>
    Then <count> streams of seed <seed> from "<who>" leave the connection within its limits

    Examples:
      | who       | count | seed |
      | callers   | 300   | 1    |
      | upstreams | 300   | 2    |
