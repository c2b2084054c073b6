Feature: A store that comes back from an older copy
  Guards against daemons that go on with what the store said or confirmed before it was restored.

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
