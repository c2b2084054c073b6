Feature: Who is closed when clients hold too much
  Guards against a crowd that takes the memory or the places of ordinary clients, and against a
  whole request that is closed for it. Times are in ms, sizes in KB; connections have the name of
  their source before the dash.

  Scenario Outline: memory: <case>
    Given a budget of <budget> KB and connections "<held>"
    When "<client>" reads <size> KB more at 1000
    Then "<closed>" are closed

    Examples:
      | case                          | budget | held                                          | client | size | closed |
      | enough                        | 1000   | a-1 reading 0 300; b-1 reading 0 300          | c-1    | 300  |        |
      | the largest                   | 1000   | a-1 reading 0 400; b-1 reading 0 300          | c-1    | 400  | a-1    |
      | the oldest of the same size   | 1000   | a-1 reading 0 400; b-1 reading 500 400        | c-1    | 300  | a-1    |
      | the slow before the large     | 1000   | a-1 reading 0 300; b-1 reading 900 500        | c-1    | 250  | a-1    |
      | the source that holds most    | 1000   | a-1 reading 0 350; b-1 reading 900 310; b-2 reading 900 300 | c-1 | 150 | b-1 |
      | never whole requests          | 1000   | a-1 serving 0 800; b-1 reading 900 150        | c-1    | 100  | b-1 c-1 |
      | who does not read responses   | 1000   | a-1 unread 0 500; b-1 reading 500 300         | c-1    | 300  | a-1    |
      | a part of a response taken    | 1000   | a-1 sending 0 500; b-1 reading 500 300        | c-1    | 300  | a-1    |

  Scenario Outline: places: <case>
    Given a budget of 9000 KB and connections "<held>"
    When "c-1" connects where <places> may
    Then "<closed>" are closed

    Examples:
      | case                            | places | held                                                   | closed  |
      | enough                          | 3      | a-1 silent 0 0; b-1 idle 0 0                           |         |
      | those that never sent a request | 2      | a-1 silent 500 0; b-1 idle 0 0                         | a-1     |
      | several of them                 | 6      | a-1 silent 0 0; a-2 silent 1 0; a-3 silent 2 0; a-4 silent 3 0; a-5 silent 4 0; b-1 idle 0 0 | a-1 a-2 a-3 a-4 |
      | the slowest that sends one      | 3      | a-1 reading 10 1; a-2 reading 20 1; b-1 idle 0 0       | a-1     |
      | the one that was idle longest   | 2      | a-1 idle 10 0; b-1 idle 0 0                            | b-1     |
      | never whole requests            | 2      | a-1 serving 0 0; b-1 serving 0 0                       | c-1     |
      | the slowest before few new ones | 4      | a-1 reading 10 1; a-2 reading 20 1; a-3 reading 30 1; b-1 silent 0 0 | a-1 |
      | many new ones before the slow   | 4      | a-1 reading 10 1; b-1 silent 0 0; b-2 silent 1 0; b-3 silent 2 0 | b-1 b-2 b-3 |
      | few new ones before the idle    | 4      | a-1 idle 0 0; a-2 idle 0 0; b-1 silent 900 0; b-2 serving 0 0 | b-1 |
      | never a response being taken    | 2      | a-1 sending 0 0; b-1 serving 0 0                       | c-1     |
      | responses that are not taken    | 2      | a-1 unread 0 0; b-1 sending 0 0                        | a-1     |

  Scenario: several connect before those that are closed for them have ended
    Guards against many that are closed for a few new ones in one turn of the loop.
    Given a budget of 9000 KB and connections "a-1 silent 0 0; a-2 silent 1 0; a-3 silent 2 0; a-4 silent 3 0; a-5 silent 4 0; a-6 silent 5 0"
    When "c-1" connects where 6 may
    And those that were chosen are closing
    And "c-2" connects where 6 may
    Then "" are closed
