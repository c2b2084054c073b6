Feature: Membership decisions
  Guards against wrong states of members, and against control traffic beyond its budget.

  Scenario Outline: a record of "<heard>" heard by a daemon that holds "<known>"
    Guards against old records that overwrite newer ones.
    Given a daemon that holds the record "<known>"
    When it hears the record "<heard>"
    Then it holds the record "<held>"

    Examples:
      | known     | heard     | held      |
      | alive 5   | suspect 5 | suspect 5 |
      | alive 5   | suspect 4 | alive 5   |
      | suspect 5 | alive 5   | suspect 5 |
      | suspect 5 | alive 6   | alive 6   |
      | suspect 5 | dead 5    | dead 5    |
      | dead 5    | alive 5   | dead 5    |
      | dead 5    | leaving 5 | dead 5    |
      | dead 5    | alive 6   | alive 6   |
      | dead 5    | alive 4   | dead 5    |
      | leaving 5 | suspect 5 | leaving 5 |
      | leaving 5 | dead 5    | dead 5    |
      | none      | alive 1   | alive 1   |

  Scenario Outline: a daemon hears of itself as <heard>
    Guards against daemons that accept that they are dead, or cannot exceed an old incarnation.
    Given a daemon of incarnation 5
    When it hears of itself as "<heard>"
    Then its own record is "<held>"

    Examples:
      | heard      | held     |
      | suspect 5  | alive 6  |
      | dead 5     | alive 6  |
      | dead 4     | alive 5  |
      | alive 5    | alive 5  |
      | alive 90   | alive 91 |
      | leaving 90 | alive 91 |

  Scenario Outline: <count> daemons, <loss> % loss: <fault>
    Guards against failures that the fleet does not notice or does not recover from.
    Given <count> members with seed <seed> that lose <loss> % of messages
    When <fault>
    Then within <periods> protocol periods <outcome>

    Examples:
      | count | seed | loss | periods | fault                                     | outcome                       |
      | 2     | 1    | 0    | 12      | member 1 is killed                        | member 1 is dead in all other tables |
      | 8     | 2    | 0    | 25      | member 3 is killed                        | member 3 is dead in all other tables |
      | 32    | 3    | 5    | 50      | member 3 is killed                        | member 3 is dead in all other tables |
      | 32    | 4    | 0    | 15      | member 3 leaves                           | member 3 is leaving in all other tables |
      | 32    | 5    | 10   | 20      | member 3 leaves                           | member 3 is leaving in all other tables |
      | 16    | 6    | 0    | 40      | member 3 leaves and is killed             | member 3 is dead in all other tables |
      | 16    | 7    | 0    | 25      | member 3 is paused for 3 periods          | member 3 is alive in all other tables |
      | 16    | 8    | 0    | 40      | member 3 is paused for 30 periods         | member 3 is alive in all other tables |
      | 16    | 9    | 0    | 40      | member 3 restarts with a higher clock     | member 3 is alive in all other tables |
      | 16    | 10   | 0    | 60      | member 3 restarts with a lower clock      | member 3 is alive in all other tables |
      | 16    | 11   | 0    | 40      | member 3 is replaced under a new id       | member 3 is dead in all other tables |
      | 16    | 12   | 0    | 90      | the regions are partitioned for 60 periods| every member is alive in all other tables |
      | 16    | 13   | 5    | 120     | the regions are partitioned for 60 periods| every member is alive in all other tables |
      | 16    | 14   | 20   | 120     | nothing happens for 120 periods           | every member is alive in all other tables |
      | 9     | 15   | 0    | 60      | every member restarts with a lower clock  | every member is alive in all other tables |
      | 8     | 16   | 0    | 120     | members 1 and 2 do not know each other    | every member is alive in all other tables |

  Scenario: random losses, pauses and restarts
    Guards against combinations that the table does not list, and records of older incarnations.
    Then under random faults the members agree on who is alive

  Scenario: the view of a resumed daemon is stale until a peer has sent its table
    Guards against routing by the view from before a pause, also when the first peer asked is paused.
    Given a daemon with 4 peers that was paused for 60 s
    Then its view is stale
    And it asks another peer for the table when the first gives no answer
    And its view is current after a complete table but not after a sample
    And a probe sent before the pause raises no suspicion
    And the time of the pause does not count against a suspect

  Scenario Outline: a tick that is <late> ms late
    Guards against a daemon with an overloaded loop that suspects healthy peers.
    Given a daemon with 4 peers and a probe in flight
    When the next tick comes after <late> ms and the probe gets no answer
    Then helpers are asked: <asked>

    Examples:
      | late | asked |
      | 250  | yes   |
      | 390  | yes   |
      | 900  | no    |

  Scenario Outline: a table from a peer that says "<heard>" of a member that is alive here, <when>
    Guards against regions that consider their own members dead after a partition.
    Given a daemon that holds the record "alive 5"
    When it gets a table with "<heard>" <when>
    Then it holds the record "<held>"

    Examples:
      | heard     | when          | held      |
      | dead 5    | while current | alive 5   |
      | suspect 5 | while current | alive 5   |
      | leaving 5 | while current | leaving 5 |
      | alive 6   | while current | alive 6   |
      | dead 5    | after a pause | dead 5    |

  Scenario Outline: the answer to a probe of incarnation <sent> by a member known as "<known>"
    Guards against daemons that are not told that their peers consider them dead.
    Given a daemon that holds the record "<known>"
    Then its answer to a probe of incarnation <sent> holds "<told>"

    Examples:
      | known     | sent | told      |
      | alive 9   | 4    | alive 9   |
      | suspect 5 | 5    | suspect 5 |
      | dead 5    | 5    | dead 5    |
      | alive 5   | 5    | none      |

  Scenario: a full member table
    Guards against a table that grows without limit, and against members dropped without a report.
    Given a daemon whose table is full
    When it hears of 3 more members
    Then it holds no more members and reports this once

  Scenario: dead members are retained
    Guards against old records that make a dead member alive again after a short time.
    Given a daemon that holds the record "dead 5"
    When 590 s pass and it hears the record "alive 5"
    Then it holds the record "dead 5"

  Scenario Outline: <count> daemons start with <stale> old announcements, log round trip <trip> ms
    Guards against a burst of announcements on the log, and against daemons that never join.
    When <count> daemons start at once on a log with <stale> old announcements and a <trip> ms round trip
    Then every daemon has joined
    And at most <most> announcements were appended
    And no daemon has more than one read in flight and all daemons made at most <reads> reads

    Examples:
      | count | stale | trip | most | reads |
      | 1     | 0     | 5    | 1    | 10    |
      | 3     | 0     | 5    | 3    | 20    |
      | 200   | 0     | 5    | 24   | 1000  |
      | 1300  | 0     | 5    | 24   | 6500  |
      | 1300  | 16    | 5    | 24   | 6500  |
      | 1300  | 0     | 500  | 24   | 6500  |

  # The announcement of the daemon was the last of 3 records and is not among the 5 of the other log.
  Scenario Outline: a daemon whose announcement the log lost: <guards against>
    Given a daemon that announced itself as record 2 of the log
    When it learns of another log with 5 records by "<sign>"
    Then it reads that log from record 0 and announces itself again

    Examples:
      | guards against                                      | sign                     |
      | a restored log that has grown past the announcement | the era of its next read |
      | the same until the next read in ten minutes         | the configuration's log  |
      | records of a read that began in the earlier log     | a read under way         |

  Scenario: a log that is down at start
    Guards against simultaneous retries that overload a recovering log.
    Given a daemon that fails to read the log 12 times
    Then its retry delays have full jitter and stay within 30 s

  Scenario: strikes and clearances are sent a limited number of times
    Guards against reports that get lost or that are passed on for ever.
    Given a strike and a clearance that are reported twice
    Then each is new once and is sent 6 times
    And the clearance is new again after another strike

  Scenario Outline: the size of <message>
    Guards against control messages that grow beyond the budget of a daemon.
    Then <message> takes at most <bytes> bytes

    Examples:
      | message                                | bytes |
      | an idle probe                          | 120   |
      | an idle answer                         | 60    |
      | a probe with 100 pending updates       | 1400  |
      | a notice of a new version              | 260   |

  Scenario: control messages survive encoding and any bytes are handled
    Guards against crashes on damaged messages, and against fields lost in the positional encoding.
    Then every control message decodes to itself
    And any bytes decode to a message or end in MessageDecodeError
