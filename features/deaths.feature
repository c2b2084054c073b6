Feature: Deaths of upstreams and the requests that they were running
  Guards against a request that crashes upstream after upstream, and against a harmless request that is
  refused because it was merely running when upstreams died. All times are virtual.

  Scenario Outline: a request that crashes each upstream: <guards against>
    Given <upstreams> upstreams, each next to a daemon, with <sound> sound requests a second
    When a crashing request comes <copies> times each <period> s for <total> s and <trouble>
    Then it crashes at most <crashes> upstreams, and sound requests are refused 0 times

    Examples:
      | guards against                         | upstreams | sound | copies | period | total | trouble                      | crashes |
      | a killer whose caller waits            | 16        | 20    | 1      | 2      | 500   | nothing else happens         | 3       |
      | a killer whose callers leave           | 16        | 20    | 1      | 2      | 500   | its callers leave            | 3       |
      | many upstreams that one request visits | 200       | 20    | 1      | 2      | 500   | its callers leave            | 3       |
      | a killer at a low rate                 | 16        | 50    | 1      | 60     | 500   | its callers leave            | 3       |
      | a killer at a high rate                | 200       | 20    | 4      | 1      | 100   | its callers leave            | 12      |
      | a restart that forgets what is known   | 16        | 20    | 1      | 2      | 500   | daemons restart in turn      | 3       |
      | a crash that no refusal confirms       | 16        | 20    | 1      | 2      | 500   | upstreams are back at once   | 3       |

  Scenario Outline: a harmless request: <guards against>
    Given <upstreams> upstreams, each next to a daemon, with 0 sound requests a second
    When the same harmless request comes <rate> times a second while <count> upstreams crash together each <period> s
    Then it is refused for at most <refused> ms at a time, and served in the end

    Examples:
      | guards against                            | upstreams | rate | count | period | refused |
      | a popular page refused for two crashes    | 16        | 100  | 1     | 7      | 0       |
      | the same in a large fleet                 | 200       | 100  | 2     | 7      | 0       |
      | a page refused after many crashes at once | 16        | 100  | 12    | 20     | 3300    |
      | the same in a large fleet, at a low rate  | 200       | 10   | 100   | 20     | 3600    |

  Scenario: a request that crashes upstreams after its callers have left
    Guards against a death that is no evidence because nobody waits for the answer any more.
    Given a platform fleet
    When 2 callers of d1 in turn leave "POST /once/poison", and its upstream crashes
    And a caller of d2 sends "POST /once/poison"
    Then the answer is 503 and all upstreams ran it 2 times

  Scenario: a page that two upstreams were running when they crashed
    Guards against a harmless page that every daemon refuses for ten minutes.
    Given a platform fleet
    When both upstreams of the service have served "GET /safe/page"
    And the upstream that runs "GET /safe/page" for a caller of d1 crashes, 2 times
    And a caller of d2 sends "GET /safe/page" 6 times
    Then every answer was 200

  Scenario: strikes that have expired are not taken from a peer again
    Guards against a refusal without an end, as each daemon reminds the others of what they forgot.
    Given a suspect of two deaths, known to one daemon 5 minutes before the other
    When each has told the other what it knows every minute for 30 minutes
    Then both let the request run
