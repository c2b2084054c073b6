Feature: Choice of an upstream
  Guards against calls to upstreams that are slow, failing, cold or far while better ones are there.

  Scenario Outline: <case>
    Given the balancer "adaptive" over upstreams "<fleet>"
    When "<events>" happens
    Then a "<purpose>" attempt after "<tried>" goes to one of "<chosen>"

    Examples: required filters
      | case                                      | fleet                           | events                              | purpose | tried | chosen |
      | only ready upstreams get calls            | a@aarhus-a b@aarhus-a           | b becomes starting                  | first   |       | a      |
      | draining upstreams get no calls           | a@aarhus-a b@aarhus-a           | b becomes draining                  | first   |       | a      |
      | without a ready upstream none is chosen   | a@aarhus-a                      | a becomes draining                  | first   |       |        |
      | no attempt starts at the deadline         | a@aarhus-a                      | wait 1000000                        | first   |       |        |

    Examples: earlier attempts
      | case                                      | fleet                           | events                              | purpose | tried | chosen |
      | a retry uses another upstream             | a@aarhus-a b@roskilde-b         |                                     | retry   | a     | b      |
      | a retry uses the only upstream again      | a@aarhus-a                      |                                     | retry   | a     | a      |
      | a hedge never uses the same upstream      | a@aarhus-a                      | all ran 10 *40                      | hedge   | a     |        |
      | a retry leaves the group                  | a@aarhus-a b@aarhus-a c@roskilde-b | group a,b                        | retry   | a     | c      |
      | a hedge leaves the group                  | a@aarhus-a b@aarhus-a c@roskilde-b | all ran 10 *40; group a,b        | hedge   | a     | c      |
      | a hedge never stays in the group          | a@aarhus-a b@aarhus-a           | all ran 10 *40; group a,b           | hedge   | a     |        |
      | a retry prefers ejected ones to the group | a@aarhus-a b@aarhus-a c@roskilde-b | group a,b; c fails connect-failed | retry  | a     | c      |

    Examples: groups
      | case                                      | fleet                           | events                              | purpose | tried | chosen |
      | a slow group gets no first attempts       | a@aarhus-a b@aarhus-a c@roskilde-b | all ran 10 *10; group a,b; a ran 60 | first |      | c      |
      | a normal answer shows the group is fast   | a@aarhus-a b@aarhus-a c@roskilde-b | all ran 10 *10; group a,b; a ran 60; b ran 10 | first | | b |
      | a group that is fast is not avoided       | a@aarhus-a b@aarhus-a c@roskilde-b | all ran 10 *10; group a,b; a starts | first |      | b      |
      | all in the slow group still get calls     | a@aarhus-a b@aarhus-a           | all ran 10 *10; group a,b; a ran 60 | first   |       | b      |

    Examples: locality and capacity
      | case                                      | fleet                           | events                              | purpose | tried | chosen |
      | the own data centre comes first           | a@aarhus-a b@aalborg-b c@roskilde-b |                                 | first   |       | a      |
      | full by own calls: the own region is next | a@aarhus-a b@aalborg-b c@roskilde-b | a starts *4                     | first   |       | b      |
      | full by reported load                     | a@aarhus-a b@aalborg-b          | a reports 3 1 4                     | first   |       | b      |
      | an old report is forgotten                | a@aarhus-a b@aalborg-b          | a reports 3 1 4; wait 1100          | first   |       | a      |
      | everything full: the best of all          | a@aarhus-a b@aalborg-b          | all ran 10 *10; a starts *6; b starts *4 | first |    | b      |

    Examples: speed
      | case                                      | fleet                           | events                              | purpose | tried | chosen |
      | a slow answer moves calls away            | a@aarhus-a b@aalborg-b          | all ran 10 *10; a ran 60            | first   |       | b      |
      | the slow time ends                        | a@aarhus-a b@aalborg-b          | all ran 10 *10; a ran 60; wait 450  | first   |       | a      |
      | a frozen upstream gives no answers        | a@aarhus-a b@aalborg-b          | all ran 10 *10; a starts; wait 40   | first   |       | b      |
      | a second frozen call doubles the time     | a@aarhus-a b@aalborg-b          | all ran 10 *10; a starts; wait 40; choose; wait 450; a starts; wait 40; choose; wait 500 | first | | b |
      | one long call does not count as slow      | a@aarhus-a b@aalborg-b          | all ran 10 *10; a starts; wait 5; a ran 10; wait 100 | first | | a    |
      | a long call that ends is not slow         | a@aarhus-a b@aalborg-b          | all ran 10 *10; a overlaps 90       | first   |       | a      |
      | fewer calls and lower latency win         | a@aarhus-a b@aarhus-a           | a ran 10 *20; b ran 25 *20          | first   |       | a      |

    Examples: failures
      | case                                      | fleet                           | events                              | purpose | tried | chosen |
      | failed connections eject                  | a@aarhus-a b@aalborg-b          | a fails connect-failed              | first   |       | b      |
      | an ejection ends                          | a@aarhus-a b@aalborg-b          | a fails connect-failed; wait 600    | first   |       | a      |
      | the next ejection is longer               | a@aarhus-a b@aalborg-b          | a fails connect-failed; wait 600; a fails connect-failed; wait 900 | first | | b |
      | everything ejected still gets calls       | a@aarhus-a                      | a fails connect-failed              | first   |       | a      |
      | quick errors attract no calls             | a@aarhus-a b@aarhus-a           | all ran 10 *10; a errors 1 *5       | first   |       | b      |
      | quick refusals attract no calls           | a@aarhus-a b@aarhus-a           | all ran 10 *10; a fails queue-full *5 | first |       | b      |
      | a far upstream is better than a failing   | a@aarhus-a b@roskilde-b         | all ran 10 *10; a errors 1 *5       | first   |       | b      |
      | a failing upstream is tried again         | a@aarhus-a b@aalborg-b          | all ran 10 *10; a errors 1 *5; wait 3000 | first |    | a      |

  Scenario Outline: an upstream that became ready <age> ms ago gets between <low> and <high> percent
    Guards against a full share of the calls for an upstream that has just started.
    Given the balancer "adaptive" over upstreams "a@aarhus-a b@aarhus-a"
    When "all ran 10 *10; b becomes starting; b becomes ready; choose; wait <age>" happens
    Then upstream "b" gets between <low> and <high> percent of the first attempts

    Examples:
      | age  | low | high |
      | 0    | 1   | 12   |
      | 2500 | 15  | 35   |
      | 5000 | 40  | 60   |

  Scenario Outline: a hedge starts <delay>: <case>
    Guards against hedges of usual calls, and hedges that add to an overload.
    Given the balancer "adaptive" over upstreams "a@aarhus-a b@aarhus-a"
    When "<events>" happens
    Then an attempt with hedge quantile <quantile> is hedged after "<delay>"

    Examples:
      | case                        | events                             | quantile | delay |
      | after the quantile          | a ran 10 *38; b ran 30 *2          | 0.95     | 30    |
      | off in the policy           | a ran 10 *40                       | 0        | never |
      | latency is not yet known    | a ran 10 *10                       | 0.95     | never |
      | many refusals               | a ran 10 *40; a fails queue-full *2 | 0.95    | never |
      | high utilisation            | a ran 10 *40; a starts *3; b starts *3 | 0.95 | never |
      | cancelled attempts count    | a ran 10 *30; a cancelled 30 *10   | 0.95     | 30    |

  Scenario Outline: the balancer "<name>" <what>
    Guards against a named policy that does not choose as its name says.
    Given the balancer "<name>" over upstreams "a@aarhus-a b@aarhus-a c@roskilde-b"
    When "<events>" happens
    Then 6 first attempts go, in any order, to "<chosen>"

    Examples:
      | name        | what                      | events              | chosen      |
      | round-robin | takes turns               |                     | a a b b c c |
      | round-robin | skips what is not ready   | b becomes starting  | a a a c c c |
      | two-random  | takes the less busy       | a starts; b starts; c becomes draining; a starts | b b b b b b |
