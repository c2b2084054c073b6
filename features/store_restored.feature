Feature: A store that comes back from an older copy
  Guards against daemons that go on with what the store said or confirmed before it was restored.

  # Version 7 is at offset 0 and version 8, which the copy lacks, at offset 1. The records are written
  # before a daemon asks the restored store for the first time; "other" is another key of the topic.
  Scenario Outline: the records "<records>" after a restore: <guards against>
    Given a platform fleet of which the north always reads the store
    When the store is copied
    And the operator writes version 8 with route "/new/"
    Then every daemon has version 8 in force
    When the store comes back from the copy, with the records "<records>"
    Then every daemon has version <version> in force
    When the operator writes version 20 with route "/newer/"
    Then every daemon has version 20 in force

    Examples:
      | guards against                                            | records       | version |
      | a version that goes back                                  | none          | 8       |
      | the lost records written again                            | 8             | 8       |
      | a change in the place of a lost one                       | 9             | 9       |
      | a change below the offset from which a reader goes on     | 9 other       | 9       |
      | the same in a log that is longer than the reader's offset | 9 other other | 9       |
      | records written again in another order                    | other 8 9     | 9       |
      | a change after one that was written again                 | 8 9           | 9       |

  Scenario Outline: an answer of era <era> to a call made when era <asked> was known: <guards against>
    Then with era <known> known it says "<change>", and era <present> is present

    Examples:
      | guards against                                         | known | asked | era  | change   | present |
      | a first answer taken for a restore                     | none  | none  | 4    | first    | 4       |
      | an answer without an era taken for a restore           | 4     | 4     | none | none     | 4       |
      | an era that rises without a sign                       | 4     | 4     | 5    | restored | 5       |
      | a restore that is missed as two came at once           | 4     | 4     | 6    | restored | 6       |
      | a late answer of the earlier era that is believed      | 5     | 4     | 4    | outdated | 5       |
      | the same of a call made before the first answer        | 5     | none  | 4    | outdated | 5       |
      | another store that is never believed, as its era is low | 5     | 5     | 2    | restored | 2       |

  # A copy of the empty topic lacks every announcement. Only the readers follow the store.
  Scenario Outline: announcements that the store lost <times>: <guards against>
    Given a platform fleet that has read its announcements
    When the store is copied empty
    And the store comes back from the copy <times>
    Then the store has the records "d0,d1,d2" again

    Examples:
      | guards against                                            | times |
      | daemons that no later daemon finds                        | once  |
      | the same after a second restore while they are written    | twice |

  Scenario: a daemon that had no link to the one that noticed a restore learns of it later
    Guards against a notice that is sent once, and missed by a daemon whose link is just down.
    Given a platform fleet
    When d0 has noticed a restore in era 2 and its link from d2 is lost
    Then d2 writes its announcement again

  Scenario Outline: a fleet that is killed whole after a restore keeps a confirmed <what>
    Guards against a drain that is stored once: the copy lacks it, and after a restart of all daemons
    a late heartbeat would undo it.
    Given a platform fleet
    When the store is copied
    And upstream "u0" tells its daemon "<messages>"
    And the store comes back from the copy <times>
    Then the store has the records "d0/drain" again
    When every daemon is killed and started again
    And upstream "u0" tells its daemon "late ready"
    And upstream "u2" tells its daemon "ready"
    And every daemon sees the upstreams "u2"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" ran "none"

    Examples:
      | what                                          | messages               | times |
      | drain                                         | draining               | once  |
      | leave                                         | leave                  | once  |
      | leave of an upstream that sent no heartbeat   | replaced; leave        | once  |
      | leave of the upstream after one that left     | leave; replaced; leave | once  |
      | leave through two restores                    | leave                  | twice |

  Scenario: a leave is confirmed again only once a restored store has its drain
    Guards against a confirmation of the era before, which the store has lost.
    Given a platform fleet
    When the store is copied
    And upstream "u0" tells its daemon "leave"
    And the store comes back from the copy and refuses appends
    And upstream "u0" tells its daemon "leave"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" was answered 503 and ran "none"
    When the store takes appends again
    Then the store has the records "d0/drain" again
    When upstream "u0" tells its daemon "leave"
    And a caller of d1 sends "GET /safe/1" 6 times
    Then upstream "u0" was answered 200 and ran "none"

  Scenario Outline: records of a daemon after "<history>": <guards against>
    Then after "<history>" the records "<missing>" are missing

    Examples:
      | guards against                                        | history                                                          | missing             |
      | records that are written though nothing was lost      | write announcement 1; write drain 1                              | -                   |
      | records of an earlier era                             | write announcement 1; write drain 1; restored 2                  | announcement, drain |
      | a record that was written in the present era          | write announcement 1; restored 2; write announcement 2           | -                   |
      | a record confirmed in the new era before it was known | write drain 2; restored 2                                        | -                   |
      | a second restore while the first is repaired          | write drain 1; restored 2; restored 3; write drain 2; restored 3 | drain               |
      | a report that stands for more than one write          | write drain 1; reported; write drain 1                           | -                   |
      | a drain that nobody needs any more                    | write drain 1; restored 2; drop drain                            | -                   |
      | a record that was never written                       | restored 2; reported                                             | -                   |

  Scenario Outline: <daemons> daemons that write again: <guards against>
    Then <daemons> daemons write again within <limit> ms, spread over that time

    Examples:
      | guards against                               | daemons | limit |
      | a small fleet that waits for seconds         | 16      | 64    |
      | a fleet that fills the store's queue of 2 s  | 1300    | 5200  |

  # d0 is no reader at the moment at which its call fails, as others are still served.
  Scenario: a daemon that is a reader again after its call failed asks the store at once
    Guards against a fleet of which nobody asks a store that is back: on the day restored, every daemon
    slept for 4 s after one failed call, the readers too.
    Given a platform fleet of which only d0 reads the store
    When d0 loses the store while it is no reader, and is a reader again once the store answers
    And the operator writes version 8 with route "/new/"
    Then every daemon has version 8 in force

  Scenario: daemons that lost the store use it again as soon as it answers one of them
    Guards against a store that is read by a single daemon for 5 s after each outage.
    Given a platform fleet of which only d0 reads the store
    When every daemon loses the store until it answers d0 again
    Then every daemon knows that the store answers d1
    And every daemon knows that the store answers d2

  # The log of the other store ends at the same offset, and its era is the same.
  Scenario: a store at another address is read from its newest record and gets the daemons' records
    Guards against offsets and announcements of one store that are taken for those of another.
    Given a platform fleet of which the north always reads the store
    When every daemon's settings name another store, which holds version 9
    Then every daemon has version 9 in force
    And the store has the records "d0,d1,d2" again

  Scenario: an announcement that was withdrawn and that a restore brings back is withdrawn again
    Guards against daemons that are gone for good, and that each new daemon dials for 20 s.
    Given a platform fleet that removes unreachable peers soon
    When the store comes back from a copy in which the gone daemon d9 is announced
    Then the store has no record of d9

  Scenario: a version that a restored store gives to another configuration
    Guards against daemons that differ without a sign: the first content of a version stays in force.
    Given a platform fleet of which the north always reads the store
    When the operator writes version 8 with route "/new/"
    Then every daemon has version 8 in force
    When the operator writes version 8 with route "/other/"
    And d0 has noticed the other content
    Then d0 has logged "config_content_differs" with "version=8"
    When the operator writes version 9 with route "/other/"
    Then every daemon has version 9 in force
