Feature: Quarantine of requests that crash upstreams
  Guards against a request that keeps crashing upstreams, and against refusals of harmless requests.

  # In the events, p:d1 is a death of the upstream of d1 with p in flight, p:d1+ is one in the next
  # incarnation of d1, and lift:p/d1/d2 is a clearance of p that names the deaths at d1 and d2.
  Scenario Outline: <case>
    Given an empty strike table of <limit> fingerprints
    When the quarantine events "<events>" happen
    Then fingerprint "p" is <state>

    Examples: FINGERPRINT:DEATH is a strike, clear: a completion, lift: a clearance, wait: minutes
      | case                                     | limit | events                                     | state       |
      | one death                                | 9     | p:d1                                       | suspected   |
      | two deaths                               | 9     | p:d1 p:d2                                  | quarantined |
      | one death reported twice                 | 9     | p:d1 p:d1                                  | suspected   |
      | two deaths of one daemon's upstream      | 9     | p:d1 p:d1+                                 | quarantined |
      | completion between two deaths            | 9     | p:d1 clear:p p:d2                          | suspected   |
      | completion after quarantine              | 9     | p:d1 p:d2 clear:p                          | free        |
      | completion of another request            | 9     | p:d1 clear:q p:d2                          | quarantined |
      | quarantine ends                          | 9     | p:d1 p:d2 wait:10                          | free        |
      | quarantine holds until its end           | 9     | p:d1 p:d2 wait:9                           | quarantined |
      | late reports do not extend it            | 9     | p:d1 p:d2 wait:9 p:d3 wait:1               | free        |
      | a strike that crosses its clearance      | 9     | lift:p/d1/d2 p:d2 p:d1                     | free        |
      | a copy of a strike after its clearance   | 9     | p:d1 p:d2 lift:p/d1/d2 p:d2 p:d1           | free        |
      | a death that the clearance did not name  | 9     | p:d1 lift:p/d1 p:d2 p:d1                   | suspected   |
      | deaths after a clearance                 | 9     | p:d1 lift:p/d1 p:d2 p:d3                   | quarantined |
      | strikes far apart                        | 9     | p:d1 wait:11 p:d2                          | suspected   |
      | full table drops the oldest              | 2     | p:d1 q:d1 r:d1 p:d2                        | suspected   |
      | full table keeps the newest              | 2     | q:d1 r:d1 p:d1 p:d2                        | quarantined |

  Scenario Outline: <case>
    Given an upstream next to daemon "me" where "<running>" runs and "p" has <strikes> strikes
    Then a call with fingerprint "<fingerprint>" is <decision> when its trial daemon is "<trial>"

    Examples:
      | case                                           | running | strikes | fingerprint | trial | decision          |
      | a request without strikes starts               | p       | 0       | p           | me    | admitted          |
      | a suspected request starts alone               | q       | 1       | p           | me    | admitted          |
      | a suspected request does not run twice at once | p       | 1       | p           | me    | refused suspected |
      | a suspected request runs elsewhere             | q       | 1       | p           | other | refused suspected |
      | a quarantined request is refused               | q       | 2       | p           | me    | refused quarantined |
      | another request is admitted                    | p       | 2       | q           | me    | admitted          |

  Scenario Outline: <case>
    Given a daemon "me" with peers "d1,d2,d3" of one service
    When gossip reports strikes "<strikes>" and clearances "<clearances>"
    Then the upstream task treats "p" as <state>

    Examples:
      | case                             | strikes             | clearances | state       |
      | gossip of one strike             | p:d1                | none       | suspected   |
      | gossip of two strikes            | p:d1 p:d2           | none       | quarantined |
      | gossip of a strike already known | p:d1 p:d1           | none       | suspected   |
      | gossip about another request     | q:d1 q:d2           | none       | free        |

  Scenario Outline: an upstream that <behaviour> counts as <state>
    When a lost connection is followed by a probe of an address that <behaviour>
    Then the upstream counts as <state>

    Examples: a process that is ending may still accept connections for a moment
      | behaviour                | state |
      | refuses connections      | dead  |
      | closes connections       | dead  |
      | resets connections       | dead  |
      | waits for a call         | alive |

  Scenario Outline: a death with <running> in flight is reported as <deaths>
    Given an upstream that dies with calls "<running>" in flight
    When calls "<cancelled>" are cancelled before the death is certain
    Then the deaths "<deaths>" are reported

    Examples: guards against deaths not counted (as of a hedge that lost) or counted twice
      | running | cancelled | deaths |
      | a       | -         | a      |
      | a       | a         | a      |
      | a b     | a         | a+b    |
      | a b     | a b       | a+b    |

  Scenario Outline: an upstream that is back before its end is noticed: <guards against>
    Given an upstream born at "<born>" that loses calls "<lost>" and accepts connections again
    When it announces the starts "<before>" before the calls are answered and "<after>" after that
    Then the deaths "<deaths>" are reported

    Examples: "-" announces nothing, 0 is an upstream that does not state its start
      | guards against                                | born | lost | before | after | deaths |
      | a death that a starved daemon does not count  | 5    | a    | 9      | -     | a      |
      | a death that is told only after the answer    | 5    | a    | -      | 9     | a      |
      | one death that counts twice                   | 5    | a b  | -      | 9 9   | a+b    |
      | a strike for a connection that broke          | 5    | a    | 5      | 5 5   | -      |
      | a later restart that is blamed on an old call | 5    | a    | -      | 5 5 9 | -      |
      | an announcement of the process that died      | 5    | a    | -      | 5 9   | a      |
      | strikes for an upstream that states no start  | 0    | a    | 0      | 0     | -      |

  Scenario Outline: a <method> request that crashes upstreams stops after two of them
    Given a fleet of "van-booking" at "aarhus-a,aalborg-b,koebenhavn-a,roskilde-b" that records executions in a file
    And the example configuration "lysknude" is in force
    And every upstream crashes on "poison" and is restarted
    When the request is sent once, then at once through every daemon, with method "<method>"
    And it is sent through every daemon in turn
    Then upstreams crashed 2 times
    And every daemon lists "/vans/poison" as quarantined
    And other requests run on every daemon
    When the quarantine is lifted at one daemon
    Then no daemon lists it

    Examples:
      | method |
      | GET    |
      | POST   |
