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
