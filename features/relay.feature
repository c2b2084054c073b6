Feature: Decisions about relayed calls
  Guards against requests that run twice, requests reported as not run that did run, and repeats
  that overload the upstreams.

  # Results: ran STATUS | refused REASON [arrived] | lost REASON; "arrived" says that the request had
  # reached an upstream, and "-" stands for no result.
  Scenario Outline: flow: <guards against>
    Given a relayed call that is "<repeat>" with <attempts> attempts, <endpoints> upstreams and budget <budget>
    When the upstreams answer "<results>"
    Then the call ends as "<end>" after <sent> handovers

    Examples:
      | guards against                               | repeat | attempts | endpoints | budget | results                                    | end                   | sent |
      | a repeat after an answer                     | safe   | 2        | 3         | 9      | ran 200                                    | ran 200               | 1    |
      | a failure passed on without a repeat         | safe   | 2        | 3         | 9      | ran 500; ran 200                           | ran 200               | 2    |
      | a lost answer of a safe call                 | safe   | 2        | 3         | 9      | lost connection-lost; ran 200              | ran 200               | 2    |
      | a second run of an unsafe call               | once   | 2        | 3         | 9      | lost connection-lost                       | lost connection-lost  | 1    |
      | a second run after the upstream failed       | once   | 2        | 3         | 9      | ran 500                                    | ran 500               | 1    |
      | giving up an unsafe call that was shed       | once   | 2        | 3         | 9      | refused shed arrived; ran 200              | ran 200               | 2    |
      | more runs than the route allows              | safe   | 1        | 3         | 9      | ran 500                                    | ran 500               | 1    |
      | more repeats than the budget                 | safe   | 2        | 3         | 0      | ran 500                                    | ran 500               | 1    |
      | budget spent on a call that did not run      | safe   | 2        | 3         | 0      | refused overloaded; ran 200                | ran 200               | 2    |
      | a slow upstream's refusal as the last word   | safe   | 2        | 3         | 9      | refused deadline; ran 200                  | ran 200               | 2    |
      | a refusal after a possible run               | safe   | 2        | 3         | 9      | lost connection-lost; refused overloaded; refused overloaded | lost connection-lost | 3 |
      | a failure hidden by a refusal                | safe   | 2        | 2         | 9      | ran 500; refused overloaded                | ran 500               | 2    |
      | a call without upstreams that is not refused | safe   | 2        | 0         | 9      | -                                          | refused no-upstream   | 0    |
      | endless handovers                            | once   | 2        | 9         | 9      | refused overloaded; refused overloaded; refused overloaded | refused overloaded | 3 |
      | work for a caller whose time is up           | safe   | 2        | 3         | 9      | lost timeout                               | lost timeout          | 1    |

  # LEFT and LEAST are the milliseconds until the deadline and those that a fast upstream needs.
  Scenario Outline: time left: <guards against>
    Given a relayed call with <left> ms left, of which upstreams need <least>
    Then its call is <decision>

    Examples:
      | guards against                          | left | least | decision            |
      | a handover that cannot end in time      | 60   | 80    | refused at once     |
      | a handover without time for a round trip | 5   | 0     | refused at once     |
      | a refusal of what can still be served   | 100  | 80    | handed over         |
      | a refusal while the costs are unknown   | 60   | 0     | handed over         |

  # Results of one service: "shed" and "ran" reached an upstream, "full" is a daemon's refusal.
  Scenario Outline: shedding: <guards against>
    When the results of a service are "<results>"
    Then a call that was shed is tried again: "<again>"

    Examples:
      | guards against                            | results                                  | again |
      | a service that sheds asked in turn        | shed; shed; ran; shed; shed              | no    |
      | one full upstream taken for the service   | shed; ran; ran; ran; shed; ran           | yes   |
      | a verdict by too few results              | shed; shed                               | yes   |
      | refusals of daemons taken for shedding    | full; full; full; full; full; shed       | yes   |
      | a verdict that outlasts the shedding      | shed; shed; shed; shed; shed; +3000      | yes   |

  # Events: accept N gives new or seen; resume N gives done, pending or fenced; finish N and +MS
  # (time that passes, in milliseconds) give no answer, shown as "-".
  Scenario Outline: ledger: <guards against>
    When the ledger sees "<events>"
    Then its answers are "<answers>"

    Examples:
      | guards against                       | events                                | answers                  |
      | a handover that runs twice           | accept 1; accept 1                    | new; seen                |
      | a late arrival after "not run"       | resume 1; accept 1                    | fenced; seen             |
      | a lost answer                        | accept 1; finish 1; resume 1          | new; -; done             |
      | a refusal of running work            | accept 1; resume 1                    | new; pending             |
      | a running call dropped by its age    | accept 1; +20000; accept 2; resume 1  | new; -; new; pending     |
      | a fence that expires too early       | resume 1; +9000; accept 1             | fenced; -; seen          |
      | a long run forgotten as it ends      | accept 1; +25000; finish 1; resume 1  | new; -; -; done          |
      | "not run" of a run that is forgotten | accept 1; finish 1; +11000; resume 1  | new; -; -; unknown       |
      | "not run" of an earlier, lost run    | accept 2; finish 2; +11000; resume 1  | new; -; -; unknown       |
      | a late arrival of a forgotten fence  | resume 1; accept 2; finish 2; +11000; accept 1 | fenced; new; -; -; seen |
      | a late copy of a forgotten run       | accept 1; finish 1; +11000; accept 1  | new; -; -; seen          |
      | a refusal of runs that come later    | accept 1; finish 1; +11000; accept 2  | new; -; -; new           |
      | a doubt about runs that come later   | accept 1; finish 1; +11000; resume 2  | new; -; -; fenced        |
      | rows that a long run keeps for ever  | accept 1; accept 2; finish 2; +20000; accept 3; resume 2; resume 1 | new; new; -; -; new; unknown; pending |

  Scenario: the ids of handovers of different daemons differ
    Guards against two daemons whose handovers are taken for copies of each other.
    Then 20000 daemons that start give their handovers 60000 different ids

  Scenario: an entry daemon that has used up its numbers takes a new origin
    Guards against ids that run into those of another daemon.
    Then the id after the last number of an origin has another origin and number 0

  # Events: a heartbeat (beat ID BORN SEQ STATE) or leave ID [BORN]; each is accepted (yes) or ignored
  # (no). "other" is a heartbeat of another service, "elsewhere" one of another address.
  Scenario Outline: announcements: <guards against>
    When an upstream announces "<events>"
    Then the announcements are accepted "<accepted>"

    Examples:
      | guards against                              | events                                                  | accepted     |
      | ignoring a heartbeat                        | beat a 10 1 ready; beat a 10 2 draining                 | yes; yes     |
      | a heartbeat out of order                    | beat a 10 2 ready; beat a 10 1 ready                    | yes; no      |
      | a late heartbeat of an earlier start        | beat b 20 1 ready; beat a 10 9 ready                    | yes; no      |
      | sequence numbers that restart at one        | beat a 10 9 ready; beat a 20 1 ready                    | yes; yes     |
      | a drain that is taken back                  | beat a 10 1 draining; beat a 10 2 ready                 | yes; no      |
      | a leave that is taken back                  | beat a 10 1 ready; leave a; beat a 10 2 ready           | yes; yes; no |
      | a late leave of an earlier start            | beat a 20 1 ready; leave a 10; beat a 20 2 ready        | yes; no; yes |
      | a leave confirmed before a restart          | leave a 10; beat a 10 7 ready                           | yes; no      |
      | a leave of another instance                 | beat b 20 1 ready; leave a 10                           | yes; no      |
      | a leave before the first heartbeat          | beat a 10 1 ready; leave b 20; beat b 20 1 ready        | yes; yes; no |
      | an unknown instance's leave without a start | leave a                                                 | no           |
      | another service at the address              | other a 10 1 ready                                      | no           |
      | another address                             | elsewhere a 10 1 ready                                  | no           |

  # Events: call ID RANK LEFT [OBJECTIVE], done ID, cancel ID, learn ROUTE MS, clear, +MS. LEFT and
  # OBJECTIVE are the milliseconds until the call's deadline and until its objective, which is the
  # deadline if left out; rank 0 is the most important. "learn" sets the mean time of a route and of
  # all calls, and "clear" refuses all waiting calls. There are 2 slots.
  Scenario Outline: slots: <guards against>
    When the slot queue sees "<events>"
    Then the queue does "<actions>"

    Examples:
      | guards against                        | events                                                                   | actions                                   |
      | more calls than slots                 | call a 1 900; call b 1 900; call c 1 900                                 | start a; start b                          |
      | idle slots                            | call a 1 900; call b 1 900; call c 1 900; done a                         | start a; start b; start c                 |
      | low-priority work started first       | call a 1 900; call b 1 900; call c 2 900; call d 0 900; done a           | start a; start b; start d                 |
      | a wait beyond the deadline            | learn r 100; call a 1 900; call b 1 900; call c 1 90                     | start a; start b; refuse c deadline       |
      | answers that all come too late        | learn r 100; call a 1 900 250; call b 1 900 250; call c 1 900 250; call d 1 900 250; call e 1 900 250 | start a; start b; refuse d overloaded; refuse e overloaded |
      | a start that cannot end in time       | call a 1 900; call b 1 900; call c 1 300; learn r 600; done a            | start a; start b; refuse c deadline       |
      | calls of running work that start last | call a 1 900; call b 1 900; call c 1 900 300; call d 1 200 60; done a; done b | start a; start b; start d; start c   |
      | work for an upstream that leaves      | call a 1 900; call b 1 900; call c 1 900; clear                          | start a; start b; refuse c leaving        |
      | all starts just too late              | call a 1 900; call b 1 900; call c 1 900 300; call d 1 900 500; +150; learn r 150; done a | start a; start b; refuse c overloaded; start d |
      | an overtaken call of a higher rank    | call a 1 900; call b 1 900; call c 0 900 300; call d 1 900 500; +150; learn r 150; done a | start a; start b; start c |
      | a slow mean that lasts for ever       | learn r 900; call a 1 300; done a; call b 1 300; call c 1 300            | start a; start b; refuse c deadline       |
      | endless queues before costs are known | call a 1 900; call b 1 900; +300; call c 1 900 400; call d 1 900 400     | start a; start b; refuse d overloaded     |
      | "not run" that comes too late         | learn r 100; call a 1 900; call b 1 900; call c 1 200; +90               | start a; start b; refuse c deadline       |
      | a call started after its caller left  | call a 1 900; call b 1 900; call c 1 900; cancel c; done a               | start a; start b                          |

  Scenario Outline: routes: <guards against>
    Given routes "a.example /x/", "a.example /x/y/", "b.example /" and "split.example /s/ 9:1"
    Then the route of "<host>" "<path>" is "<route>"

    Examples:
      | guards against                 | host           | path      | route          |
      | a route that is not found      | a.example      | /x/1      | a.example/x/   |
      | a shorter prefix               | a.example      | /x/y/1    | a.example/x/y/ |
      | a prefix cut within a segment  | a.example      | /xy/1     | none           |
      | another host's route           | b.example      | /x/1      | b.example/     |
      | an unknown host                | c.example      | /x/1      | none           |
      | a prefix found in the query    | a.example      | /x?q=/x/  | none           |
      | a host missed for its port     | a.example:8080 | /x/1      | a.example/x/   |
      | a host missed for its capitals | A.Example      | /x/1      | a.example/x/   |

  Scenario: a split keeps its weights over any 10 requests in a row
    Guards against a split that keeps its weights only on average, so that one service gets a burst.
    Given routes "a.example /x/", "a.example /x/y/", "b.example /" and "split.example /s/ 9:1"
    Then of 1000 requests on "split.example" "/s/1" any 10 in a row give service "s1" exactly 1

  # Rows: ID INCARNATION SEQUENCE STATE [ADDRESS]; the row of the directory's own daemon is
  # "me 100 0".
  Scenario Outline: directory: <guards against>
    When the directory merges "<rows>"
    Then it routes to "<ready>" and its own incarnation is <incarnation>

    Examples:
      | guards against                       | rows                                             | ready | incarnation |
      | a new daemon that gets no calls      | a 5 1 ready                                      | a     | 100         |
      | an older row that replaces a newer   | a 5 2 draining; a 5 1 ready                      | none  | 100         |
      | a restart that is ignored            | a 5 9 draining; a 6 0 ready                      | a     | 100         |
      | a clock that was set back            | me 200 3 ready                                   | none  | 201         |
      | two daemons at one address           | a 5 1 ready 10.0.0.9:1; b 6 0 ready 10.0.0.9:1   | b     | 100         |
      | a late row of an address's old owner | b 6 0 ready 10.0.0.9:1; a 5 1 ready 10.0.0.9:1   | b     | 100         |

  Scenario Outline: budget: <guards against>
    Given a budget of ratio 0.2 and slack 60 in 10000 ms for <daemons> daemons
    When <firsts> first arrivals come and <ms> ms pass
    Then at least <low> and at most <high> repeats are allowed

    Examples:
      | guards against                      | daemons | firsts | ms    | low | high |
      | a full allowance after each restart | 16      | 0      | 0     | 1   | 1    |
      | more than the fleet's ratio         | 16      | 100    | 0     | 1   | 20   |
      | more than a share of the slack      | 16      | 0      | 20000 | 2   | 4    |

  # A request makes 1.4 calls on average. Every request and every call fails, and is repeated if the
  # budget of its service allows. Calls of a repeated request count as repeats at the called service.
  Scenario Outline: budget of a chain: <guards against>
    Given 16 daemons whose requests come <rate> a second for 30 s, all failing
    Then in no 10 s the called service gets more repeats than 0.2 of its requests plus 60

    Examples:
      | guards against                     | rate |
      | repeats saved up at a low rate     | 20   |
      | repeats of repeats at a usual rate | 200  |
      | repeats of repeats at a peak       | 800  |

  Scenario Outline: answers: <guards against>
    Then a response <status> with fields "<fields>" means "<result>"

    Examples:
      | guards against                         | status | fields                       | result                |
      | an answer that is dropped              | 200    | stamp                        | ran 200               |
      | an upstream's failure that is replaced | 500    | stamp                        | ran 500               |
      | a success that no upstream sent        | 200    | server                       | lost bad-answer       |
      | bytes that were encoded on the way     | 200    | stamp; content-encoding      | lost bad-answer       |
      | a shed call taken as run               | 503    | not-run                      | refused shed          |
      | another instance's refusal             | 421    | instance                     | refused wrong-instance |

  # Times in milliseconds; "-" stands for an unknown usual time, or for no second attempt.
  Scenario Outline: second attempt: <guards against>
    Then a call that usually takes <usual>, with <objective> of its objective and <left> left, is tried again after <delay>

    Examples:
      | guards against                             | usual | objective | left | delay |
      | a slow run that misses its objective       | 50    | 250       | 600  | 175   |
      | a second run of every usual call           | 100   | 150       | 600  | 200   |
      | a second run without a known usual time    | -     | 250       | 600  | -     |
      | a second run that cannot end in time       | 300   | 400       | 800  | -     |
