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
