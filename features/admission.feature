Feature: Admission next to the upstream
  Guards against overload that lets calls wait until they are useless, short work that waits
  behind long work, and refusals of calls that have already started.

  # Events, in virtual time: slots N [connections M] and state S announce the capacity and state of
  # the upstream; policy LONG_MS SHARE sets the class policy; learn PATH MS completes a call that
  # took MS; call ID PATH LEFT and post ID PATH LEFT are an idempotent and another call with LEFT ms
  # to its deadline; done ID and shed ID end a call; cancel ID: its caller left; lease: the
  # upstream's lease expired; drain: the daemon leaves; tick: time passed; +MS: the clock moves on.
  Scenario Outline: <filter>: <guards against>
    Given admission "<policy>"
    When the events "<events>" happen
    Then the actions are "<actions>"

    Examples: gate
      | filter | guards against                          | policy   | events                                                        | actions                                                |
      | gate   | calls without an upstream               | adaptive | call a /x 900                                                 | refuse a no-upstream                                   |
      | gate   | calls during a cold start               | adaptive | slots 2; state starting; call a /x 900                        | refuse a no-upstream                                   |
      | gate   | work for a leaving upstream             | adaptive | slots 1; call a /x 900; call b /x 900; state draining; call c /x 900 | start a; refuse b leaving; refuse c leaving     |
      | gate   | a queue without an upstream             | adaptive | slots 1; call a /x 900; call b /x 900; lease; done a          | start a; refuse b no-upstream                          |
      | gate   | queued calls left unanswered on SIGTERM | adaptive | slots 1; call a /x 900; call b /x 900; drain; call c /x 900; done a | start a; refuse b leaving; refuse c leaving      |
      | gate   | reopening after SIGTERM                 | adaptive | drain; slots 1; call a /x 900                                 | refuse a leaving                                       |

    Examples: deadline
      | filter   | guards against                       | policy   | events                                                   | actions                             |
      | deadline | calls that are already late          | adaptive | slots 1; call a /x 0                                     | refuse a deadline                   |
      | deadline | calls that cannot end in time        | adaptive | slots 1; learn /x 50; call a /x 40                       | refuse a deadline                   |
      | deadline | late refusals when no slot is free   | adaptive | slots 1; learn /x 50; call a /x 900; call b /x 40        | start a; refuse b deadline          |
      | deadline | refusing a feasible call             | adaptive | slots 1; learn /x 50; call a /x 60                       | start a                             |
      | deadline | starting a call that waited too long | adaptive | slots 1; learn /x 50; call a /x 900; call b /x 80; +40; done a | start a; refuse b deadline    |
      | deadline | infeasible calls in the queue        | adaptive | slots 1; call a /x 900; call b /x 20; +25; tick          | start a; refuse b deadline          |
      | deadline | refusing for ever by an old cost     | adaptive | slots 1; learn /x 800; call a /x 700; +3000; call b /x 700 | refuse a deadline; start b        |

    Examples: class
      | filter | guards against                   | policy   | events                                                                                        | actions                            |
      | class  | long work in every slot          | adaptive | slots 4; policy 250 0.25; learn /long 300; call a /long 9000; call b /long 9000; call c /x 900 | start a; start c                   |
      | class  | long work that never runs        | adaptive | slots 1; policy 250 0.25; learn /long 300; call a /long 9000                                  | start a                            |
      | class  | idle slots within the long share | adaptive | slots 4; policy 250 0.5; learn /long 300; call a /long 9000; call b /long 9000                | start a; start b                   |
      | class  | ids in paths that hide the shape | adaptive | slots 4; policy 250 0.25; learn /job/17 300; call a /job/18?q=1 9000; call b /job/19 9000     | start a                            |
      | class  | unknown work that turns out long | adaptive | slots 4; policy 250 0.25; call a /new 9000; +300; tick; call b /new 9000; call c /x 900       | start a; start c                   |

    Examples: limit
      | filter | guards against                   | policy   | events                                                                                      | actions                               |
      | limit  | more running calls than slots    | adaptive | slots 2; call a /x 900; call b /x 900; call c /x 900                                        | start a; start b                      |
      | limit  | more connections than announced  | adaptive | slots 3 connections 1; call a /x 900; call b /x 900                                         | start a                               |
      | limit  | full load after the upstream shed | adaptive | slots 2; call a /x 900; call b /x 900; +200; shed a; call c /x 900; call d /x 900; done b   | start a; start b; start c             |
      | limit  | a limit that stays low           | adaptive | slots 2; call a /x 900; +200; shed a; +200; tick; +200; tick; call b /x 900; call c /x 900  | start a; start b; start c             |

    Examples: queue
      | filter | guards against                      | policy   | events                                                                                                      | actions                                  |
      | queue  | unfair order without overload       | adaptive | slots 1; call a /x 900; call b /x 900; call c /x 900; +50; done a; done b                                   | start a; start b; start c                |
      | queue  | late work first under overload      | adaptive | slots 1; call a /x 900; call b /x 900; +120; call c /x 900; done a                                          | start a; start c                         |
      | queue  | short work behind long work         | adaptive | slots 1; policy 250 0.25; learn /long 300; call a /x 900; call b /long 9000; call c /x 900; done a; done c  | start a; start c; start b                |
      | queue  | starved long work                   | adaptive | slots 1; policy 250 0.25; learn /long 300; call a /x 900; call b /long 9000; +120; call c /x 900; done a    | start a; start b                         |
      | queue  | an unbounded queue                  | adaptive | slots 1; call a /x 900; call b /x 900; call c /x 900; call d /x 900; call e /x 900; call f /x 900           | start a; refuse f queue-full             |
      | queue  | long work that keeps short work out | adaptive | slots 1; policy 250 0.25; learn /long 300; call a /long 9000; call b /long 9000; call c /long 9000; call d /long 9000; call e /long 9000; call f /x 900 | start a; refuse e queue-full |
      | queue  | useless entries that take up room   | adaptive | slots 1; call a /x 900; call b /x 900; call c /x 900; call d /x 900; call e /x 900; +120; call f /x 900     | start a; refuse b queue-full             |

    Examples: cancel
      | filter | guards against                   | policy   | events                                                      | actions                         |
      | cancel | work that nobody waits for       | adaptive | slots 1; call a /x 900; call b /x 900; call c /x 900; cancel b; done a | start a; start c     |
      | cancel | an idempotent call not stopped   | adaptive | slots 1; call a /x 900; cancel a                            | start a; stop a                 |
      | cancel | stopping an unsafe call half-way | adaptive | slots 1; post a /x 900; cancel a                            | start a                         |
      | cancel | a call that ends twice           | adaptive | slots 1; call a /x 900; done a; done a; cancel a; call b /x 900 | start a; start b            |

    Examples: policies for comparison
      | filter | guards against               | policy | events                                                                                            | actions                                   |
      | fixed  | a limit other than the slots | fixed  | slots 1; call a /x 900; call b /x 900; +200; call c /x 900; done a                                | start a; start b                          |
      | fixed  | an unbounded queue           | fixed  | slots 1; call a /x 900; call b /x 900; call c /x 900; call d /x 900; call e /x 900; call f /x 900 | start a; refuse f queue-full              |
      | fixed  | queued calls left unanswered | fixed  | slots 1; call a /x 900; call b /x 900; drain                                                      | start a; refuse b leaving                 |
      | fixed  | cancelled calls that start   | fixed  | slots 1; call a /x 900; call b /x 900; cancel b; done a; call c /x 0                              | start a; refuse c deadline                |
      | none   | any limit on calls           | none   | slots 1; call a /x 900; call b /x 900; call c /x 900                                              | start a; start b; start c                 |
      | none   | calls to no upstream         | none   | call a /x 900                                                                                     | refuse a no-upstream                      |

  Scenario Outline: the limit goes from <before> to <after> when calls take <times> times their baseline
    Guards against a limit that follows noise, stays high under overload or does not recover.
    Given a concurrency limit of <slots> slots at <before>
    When calls take <times> times their baseline during <windows> windows
    Then the limit is <after>

    Examples:
      | slots | before | times | windows | after |
      | 16    | 16     | 1.0   | 1       | 16    |
      | 16    | 16     | 1.9   | 3       | 16    |
      | 16    | 16     | 4.0   | 1       | 8     |
      | 16    | 16     | 10.0  | 9       | 4     |
      | 16    | 4      | 1.0   | 2       | 9     |
      | 16    | 4      | 1.0   | 4       | 16    |
      | 2     | 2      | 10.0  | 9       | 1     |

  Scenario Outline: the baseline of a shape after <samples> is about <baseline>
    Guards against a baseline that a few slow calls raise, or that never follows a lasting change.
    Given an empty cost table
    When samples "<samples>" are observed 100 ms apart
    Then the baseline is about <baseline> and the class at 250 ms is "<class>"

    Examples:
      | samples  | baseline | class |
      | 40*10    | 40       | short |
      | 40*10 400*10 | 74   | short |
      | 40*10 400*99 | 266  | long  |
      | 400*1 40*20 | 84    | short |
      | 400*2    | 400      | long  |

  Scenario: the cost table is bounded
    Guards against memory that grows with the number of different paths.
    Given an empty cost table
    When 5000 shapes are observed
    Then the table holds 1024 shapes

  Scenario Outline: no sequence of messages breaks the rules of admission "<policy>"
    Guards against faults that only rare orders of messages bring out.
    Then the admission state machine finds no fault in "<policy>"

    Examples:
      | policy   |
      | adaptive |
      | fixed    |
