Feature: How a configuration spreads between daemons
  Guards against changes that cross the link between regions whole, and against daemons that nobody
  feeds.

  # Documents are lists of objects, written as letters; the delta is what a push carries.
  Scenario Outline: delta: <guards against>
    When the document "<old>" becomes "<new>"
    Then the delta has <steps> steps, at most <fresh> bytes of its own, and gives the new document

    Examples:
      | guards against                        | old    | new     | steps | fresh |
      | a change that sends everything        | abcdef | abXdef  | 3     | 40    |
      | an added route that sends everything  | abcdef | abXcdef | 3     | 40    |
      | a dropped route that sends everything | abcdef | abdef   | 2     | 0     |
      | routes in another order               | abcdef | defabc  | 5     | 90    |
      | the same document                     | abcdef | abcdef  | 1     | 0     |
      | a first document                      | -      | abc     | 1     | 140   |
      | a document that lost its routes       | abcdef | -       | 1     | 40    |

  Scenario: any document follows from any other by its delta
    Then 300 random pairs of documents with seed 7 agree with their deltas

  Scenario Outline: a delta that does not fit is refused: <guards against>
    When a delta with steps "<steps>" is applied to the document "abc"
    Then it is refused

    Examples:
      | guards against                      | steps |
      | pieces behind the end               | 2 9   |
      | a negative start                    | -1 1  |
      | an empty run                        | 0 0   |

  # Daemons: NAME REGION LATENCY [deaf] [leaving]; "me" is n1 of the north. Latency 0 is unknown.
  Scenario Outline: readers: <guards against>
    Given the daemons "<daemons>" of which "<reachable>" are reachable
    Then n1 reads the store "<reads>" and pushes a change of the store to "<pushed>"

    Examples:
      | guards against                              | daemons                                          | reachable | reads | pushed   |
      | a fleet that nobody feeds at its start      | n1 north 0; n2 north 0; s1 south 0               | -         | yes   | -        |
      | a lone reader of a region that feeds nobody | n1 north 4; n2 north 4; s1 south 20              | n2 s1     | yes   | n2 s1    |
      | reads that cross the link between regions   | n1 north 20; s1 south 4; s2 south 4              | s1 s2     | no    | s1 s2    |
      | a region that is cut off from the readers   | n1 north 20; s1 south 4; s2 south 4              | -         | yes   | -        |
      | readers that do not reach the store         | n1 north 20; s1 south 4 deaf; s2 south 4 deaf    | s1 s2     | yes   | s1 s2    |
      | a reader that is leaving                    | n1 north 4 leaving; n2 north 5; n3 north 5       | n2 n3     | no    | n2 n3    |
      | a fleet without any answer of the store     | n1 north 0 deaf; n2 north 0 deaf                 | n2        | yes   | n2       |
      | more relays than a region needs             | n1 north 4; s1 south 9; s2 south 9; s3 south 9   | s1 s2 s3  | yes   | 2 of south |

  Scenario: readers that the store stops answering give way before a change is overdue
    Then a reader knows within 1500 ms that the store is silent
