Feature: Open connections that go silent
  Guards against a connection on which nothing arrives any more, without a reset, that is taken for a
  dead peer or a dead store, or on which a message is lost that nobody sends again.

  Scenario Outline: a silent connection to the store is replaced: <operation>
    Guards against a reader that gives the store up because its idle connection is silent, so that no
    daemon reads a change while each reader in turn finds its own connection silent.
    Given a store and a client of it with <idle> idle connections
    When the idle connections go silent and the client calls "<operation>"
    Then the store answered over 1 new connection, and the idle time of 1 connection is reported
    And the next call needs no further connection

    Examples:
      | operation          | idle |
      | newest_config      | 1    |
      | newest_config      | 3    |
      | next_config        | 1    |
      | announce           | 1    |
      | announce_drain     | 1    |
      | check              | 2    |
      | read_announcements | 1    |

  # The first request leaves an idle connection. The second one may be sent again on a new connection.
  Scenario Outline: an idle connection <behaviour> ends with "<end>"
    Given a server whose idle connection <behaviour>
    When a client that may send a request twice sends one
    Then the exchange ends with "<end>" over <new> new connections, and <reported> silent ones are reported

    Examples: guards against needless second requests, and against errors that a second one hides
      | behaviour                                  | end                  | new | reported |
      | answers                                    | 200                  | 0   | 0        |
      | is silent                                  | 200                  | 1   | 1        |
      | is silent and the new one as well          | ExchangeTimeoutError | 1   | 0        |
      | is silent and new ones are refused         | ExchangeTimeoutError | 0   | 0        |
      | answers once a new one is opened           | 200                  | 1   | 0        |
      | sends the head and later the body          | 200                  | 0   | 0        |
      | is closed by the second request            | ConnectionLostError  | 0   | 0        |

  # A change is confirmed the given time after all connections between daemons went silent, at
  # moments spread over one period of the pings. With a second silence, the connections opened since
  # go silent as well. Rule of the platform: in force 2 s after the confirmation, or 3 s after the
  # last silence. Links are pinged as seldom as in a fleet of the given size.
  Scenario Outline: a change <after> ms after a silence reaches <daemons> daemons: <guards against>
    Given a fleet of <daemons> daemons in two regions in virtual time, on links of <mbit> Mbit/s, with the idle pings of <fleet>
    When <moments> silences are each followed by a change of <bytes> bytes after <after> ms, with a second silence after <second> ms
    Then each change was in force everywhere in time

    Examples:
      | guards against                                      | daemons | fleet | mbit | bytes | after | second | moments |
      | a push that is lost on a silent link                | 4       | 4     | 100  | 100   | 3600  | none   | 24      |
      | a push at the moment of the silence                 | 4       | 4     | 100  | 100   | 0     | none   | 24      |
      | a push while the links are being replaced           | 4       | 4     | 100  | 100   | 700   | none   | 24      |
      | new links that go silent before the push            | 4       | 4     | 100  | 100   | 1500  | 1490   | 24      |
      | new links that go silent after the push             | 4       | 4     | 100  | 100   | 1500  | 1520   | 24      |
      | silences one after the other, level by level        | 60      | 60    | 100  | 100   | 3600  | none   | 3       |
      | a push at the moment of the silence, in a deep tree | 60      | 60    | 100  | 100   | 0     | none   | 8       |
      | a long change on slow links                         | 24      | 24    | 0.9  | 26000 | 3600  | none   | 8       |
      | a long change on slow links, at the silence         | 24      | 24    | 0.9  | 26000 | 0     | none   | 8       |
      | links of a large fleet that are seldom pinged       | 60      | 1300  | 100  | 100   | 3600  | none   | 3       |
      | a large fleet whose new links go silent             | 60      | 1300  | 100  | 100   | 1500  | 1490   | 3       |

  # Events: TIME sent BYTES of a message that must be confirmed, TIME byte, TIME pong, TIME busy and
  # TIME idle. The link is ticked each 100 ms, and its last byte came at 0 ms.
  Scenario Outline: pings of a link: <guards against>
    When a link that is pinged each 10 s is told "<events>"
    Then it is pinged at "<pings>" and closed at "<closed>" within 4 s

    Examples:
      | guards against                                        | events                                      | pings                    | closed |
      | a lost message that waits for the next idle ping      | 1000 sent 100                               | 1000                     | 1800   |
      | a message behind the ping that was answered           | 1000 sent 100; 1005 sent 100; 1010 pong     | 1000 1100                | 1900   |
      | a silence hidden by bytes that were on their way      | 1000 sent 100; 1010 byte                    | 1000                     | 1800   |
      | a ping after each of many cancellations               | 1000 sent 20; 1001 pong; 1002 sent 20; 1003 sent 20; 1110 pong | 1000 1100 | never |
      | a long change on a slow link taken for silence        | 1000 sent 26000; 1930 pong                  | 1000                     | never  |
      | a long change that is lost                            | 1000 sent 26000                             | 1000                     | 2000   |
      | a link closed while its bytes arrive                  | 1000 sent 100; 1600 byte; 2200 byte; 2800 pong | 1000                  | never  |
      | pings of an idle link that has nothing to confirm     | 1000 byte                                   |                          | never  |
      | a handover on a link that is silent                   | 1000 busy                                   | 1000                     | 1800   |
      | a link pinged as if it were busy when it no longer is | 1000 busy; 1001 byte; 1010 pong; 1020 idle  | 1000                     | never  |

  Scenario: links that are found silent together are dialed one after the other
    Guards against a daemon of a large fleet that dials and greets all others at once, and then
    answers no ping in time, so that its peers close the links again.
    Given a fleet of 60 daemons in two regions in virtual time, on links of 100 Mbit/s, with the idle pings of 1300
    When every connection goes silent and one daemon announces itself
    Then it dials at most 10 of its peers within 100 ms, and all of them within 5 s

  Scenario: a daemon that greets twice over one connection keeps it
    Guards against a connection that is closed as if its sender had replaced it by itself.
    Given a fleet of 2 daemons in two regions in virtual time, on links of 100 Mbit/s, with the idle pings of 2
    When d0 greets d1 a second time over their connection
    Then no link was closed

  # d0 has handed a call over to d1, which runs it for 60 s.
  Scenario Outline: a handover on a connection that goes silent: <guards against>
    Given a fleet of 2 daemons in two regions in virtual time, on links of 100 Mbit/s, with the idle pings of 2
    When d0 hands a call over, the connection goes silent after <silence> ms, and the caller leaves after <leaves> ms
    Then d1 has cancelled the call <within> ms after the caller left, and has 1 connection from d0

    Examples:
      | guards against                                         | silence | leaves | within |
      | a cancellation that is lost on a silent connection     | 100     | 110    | 3000   |
      | a cancellation lost while a ping waits for its answer  | 290     | 300    | 3000   |
      | connections that pile up at the other end              | 100     | 5000   | 3000   |
