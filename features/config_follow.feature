Feature: Following the configuration
  Guards against readers that disagree, versions that go back and pulls that get stuck.

  Scenario Outline: readers agree under random <faults>
    Guards against readers that diverge after some order of reads, pulls and restarts.
    Given 6 followers in 2 regions on a simulated log with "<faults>"
    Then in <examples> random histories no version goes back and all readers fold alike

    Examples:
      | faults                         | examples |
      | none                           | 40       |
      | retention                      | 60       |
      | retention, replacement         | 60       |
      | retention, restores            | 60       |

  Scenario: the fold of random records is whole, idempotent and never partly applied
    Guards against a rejected record that changes the state, or a record that is applied twice.
    Then 200 random sequences of records leave only checked versions with their own digest

  Scenario: a pull carries only the publish ids that the receiver lacks
    Guards against pull replies that grow with the length of the history.
    Then a pull after 4096 common publishes carries 1 publish id

  Scenario Outline: a follower with version 2 meets a peer that <behaviour>
    Guards against a bad pull reply that is put in force, or that ends the search for the version.
    Given a follower with version 2 and peers "near, far"
    When peer "near" offers version <offered> and its pull ends as "<behaviour>"
    Then the next pull goes to "<next>" and version <version> is in force
    And the reported conditions are "<conditions>"

    Examples:
      | behaviour               | offered | next | version | conditions                |
      | answers newer           | 3       | none | 3       |                           |
      | fails                   | 3       | far  | 2       |                           |
      | is silent               | 3       | far  | 2       |                           |
      | answers older           | 3       | far  | 2       |                           |
      | sends a broken document | 3       | far  | 2       | pull_refused              |
      | needs unknown rules     | 3       | none | 2       | pull_refused              |
      | has other seen ids      | 3       | near | 2       |                           |
      | has findings            | 3       | none | 2       | pull_refused              |
      | has an older version    | 1       | none | 2       |                           |
      | has another digest      | 2       | none | 2       | same_version_other_digest |

  Scenario Outline: a reader whose position is 3 meets <log>
    Guards against a reader that skips publishes or stops when its log was cut or replaced.
    Given a reader that folded 3 publishes
    When it reads a log that <log>
    Then version <version> is in force and the next read starts at <start>
    And the reported conditions are "<conditions>"

    Examples:
      | log                             | version | start | conditions          |
      | goes on                         | 4       | 4     |                     |
      | is empty                        | 3       | 0     | log_replaced        |
      | has lower offsets               | 3       | 2     | log_replaced        |
      | has other records               | 3       | 4     | log_replaced        |
      | was restored and is longer      | 5       | 5     | log_replaced        |
      | expired the last folded record  | 3       | 6     | log_records_expired |
      | expired records                 | 3       | 6     | log_records_expired |
      | expired records before restart  | 5       | 7     | log_records_expired |
      | expired records before snapshot | 5       | 5     | log_records_expired |
      | holds a late snapshot only      | 3       | 7     | log_records_expired |
      | needs unknown rules             | 3       | 2     | unknown_rules       |
      | holds an undecodable record     | 4       | 5     | record_undecodable  |

  Scenario: a search for a snapshot starts again after a failed read, as the log may be another
    Guards against a search that goes on in a log that replaced the first during the failure.
    Given a reader that folded 3 publishes
    When it reads a log that expired records
    And its read fails
    Then version 3 is in force and the next read starts at 2

  Scenario: a page that was asked for before a peer's position was taken is not folded
    Guards against records of the old log that are folded into a state from the new one.
    Given a reader that folded 3 publishes
    When it takes version 4 and position 4 from a peer that reads a replaced log
    And the page of the earlier log arrives with a publish on version 4
    Then version 4 is in force and the next read starts at 4

  Scenario Outline: snapshots of the newest state are written when <case>
    Guards against a log without a current snapshot, and several readers that write the same one.
    Given a reader of rank <rank> that folded 3 publishes and writes after 2 records
    When <seconds> seconds pass after "<case>"
    Then <count> snapshots were written, through offset <through>

    Examples:
      | case                       | rank | seconds | count | through |
      | two records                | 0    | 2       | 1     | 2       |
      | two records                | 1    | 1       | 0     | 0       |
      | two records                | 1    | 4       | 1     | 2       |
      | a snapshot by another      | 1    | 9       | 0     | 0       |
      | the log came back empty    | 0    | 2       | 1     | -1      |
      | the log came back empty    | 1    | 4       | 1     | -1      |
      | a snapshot of 7 hours      | 0    | 2       | 1     | 3       |
      | a snapshot of 5 hours      | 0    | 9       | 0     | 0       |
      | no known snapshot          | 0    | 59      | 0     | 0       |
      | no known snapshot          | 0    | 62      | 1     | 2       |
      | no peer has a position     | 0    | 19      | 0     | 0       |
      | no peer has a position     | 0    | 24      | 1     | -1      |
      | repeated lost appends      | 0    | 600     | 11    | 2       |

  Scenario Outline: delays of read attempt <attempt> are drawn from zero to <limit> ms
    Guards against readers that all retry at the same moment, and delays that grow without limit.
    Then 200 delays of attempt <attempt> are within <limit> ms and reach both halves

    Examples:
      | attempt | limit |
      | 0       | 500   |
      | 2       | 2000  |
      | 9       | 10000 |
      | 2000    | 10000 |

  Scenario Outline: the log is read by the two lowest ranks of each region and by lone daemons
    Guards against a log that every daemon reads, and against a daemon that learns of no version.
    Given a member with <others> other members in its region, rank <rank>
    When its peers have been silent for <silent> seconds
    Then it reads the log: <reads>

    Examples:
      | others | rank | silent | reads |
      | 4      | 0    | 0      | yes   |
      | 4      | 1    | 0      | yes   |
      | 4      | 2    | 0      | no    |
      | 4      | 2    | 6      | yes   |
      | 0      | 0    | 0      | yes   |
