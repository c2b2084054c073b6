Feature: Arbitrary bytes from outside
  Guards against one malformed message, record or request that ends a process, blocks its other work
  or breaks the decisions behind the decoder. Inputs are valid ones with edits, and random ones.

  Scenario Outline: decoder: <decoder>
    Then <count> inputs of seed <seed> for the decoder of <decoder> give a usable value or its documented error

    Examples:
      | decoder            | count | seed |
      | hop messages       | 1500  | 1    |
      | endpoint records   | 500   | 2    |
      | configurations     | 500   | 3    |
      | heartbeats         | 500   | 4    |
      | leave requests     | 300   | 5    |
      | store log pages    | 500   | 6    |
      | store listings     | 300   | 7    |
      | sidecar settings   | 300   | 8    |

  Scenario Outline: a daemon that gets <what> on its <listener> listener goes on serving
    Given a platform fleet
    When <count> connections with <what> of seed <seed> come to the <listener> listener of d0
    Then every task of d0 runs, and a caller of d0 gets 200

    Examples:
      | what           | listener   | count | seed |
      | random bytes   | peers      | 20    | 11   |
      | edited frames  | peers      | 60    | 12   |
      | random bytes   | callers    | 20    | 13   |
      | edited heads   | callers    | 60    | 14   |
      | random bytes   | heartbeats | 20    | 15   |
      | edited heads   | heartbeats | 40    | 16   |
      | random bytes   | ready      | 20    | 17   |
      | random bytes   | metrics    | 20    | 18   |

  Scenario: a log whose reader stalls keeps a bounded number of lines
    Guards against a daemon whose memory fills with the lines that nobody reads.
    When 50000 lines are logged while nobody reads them
    Then at most 4200 lines are kept, and a later line tells how many were left out

  Scenario Outline: a deadline of a peer's call that is <text> is not accepted
    Guards against arithmetic on a time that is no number, in each decision behind the decoder.
    Then a call whose time left is "<text>" is "<result>"

    Examples:
      | text    | result   |
      | 250.5   | accepted |
      | nan     | refused  |
      | inf     | refused  |
      | -inf    | refused  |
      | 1e999   | refused  |
      | soon    | refused  |
