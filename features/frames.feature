Feature: Frames between daemons take turns
  Guards against short answers that wait for a large one on the same connection, and against large
  answers that are lost, mixed up or taken for whole when the connection breaks.

  # Frames are NAME:BYTES; those that are sent in order among each other begin with "=". The connection takes 40,000 bytes at a time, then blocks until the other end
  # has read them.
  Scenario Outline: <guards against>
    When a connection sends the frames "<frames>" and then <end>
    Then the other end gets the frames "<arrived>" whole

    Examples:
      | guards against                               | frames                           | end              | arrived |
      | short frames out of order                    | a:10; b:0; c:900                 | stays open       | a b c   |
      | a short frame behind a large one             | a:300000; b:10                   | stays open       | b a     |
      | a large frame behind a larger one            | a:900000; b:90000; c:10          | stays open       | c b a   |
      | a frame of exactly one piece                 | a:16384; b:16385; c:32768        | stays open       | a b c   |
      | a graceful close that drops what waits       | a:300000; b:10                   | closes gracefully | b a    |
      | a frame sent after the close                 | a:10; close:0; b:10              | stays open       | a       |
      | a change that overtakes the one it builds on | =a:300000; b:10; =c:10; =d:90000; =e:10 | stays open | b a c d e |
      | a change behind another kind of large frame  | a:300000; =b:10; =c:90000        | stays open       | b c a   |
      | a graceful close that drops a later change   | =a:300000; =b:10                 | closes gracefully | a b    |
      | part of a frame that is taken for the whole  | a:10; b:300000                   | breaks           | a       |

  Scenario: frames of any size, split at any place
    Guards against sizes and splits that the table does not list.
    Then 200 random series of frames with seed 5 arrive whole, the short ones in order

  Scenario Outline: a received stream of <what> closes the connection
    When a connection receives <what>
    Then it is closed and no frame is reported

    Examples:
      | what                                   |
      | a length above the limit               |
      | an unknown kind of prefix              |
      | a piece without the number of a frame  |
      | more incomplete frames than may wait   |

  Scenario: a cancelled handover that arrives late does not run
    Guards against a long handover that its own cancellation overtakes.
    Given a platform fleet
    When a handover to upstream "u0" is cancelled before it arrives
    Then upstream "u0" has run nothing and the handover's answer is "fenced"
