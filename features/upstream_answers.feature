Feature: Broken and doubled answers of an upstream
  Guards against an answer that broke off and reaches the caller as a complete success, and against a
  second copy of an answer that the next caller on the connection gets in place of its own.

  # The answer breaks off after each of its bytes in turn; "whole" counts the places where it counts as
  # complete. A body without a length ends with the connection, so only a reset shows that it is cut.
  Scenario Outline: an answer with <framing> that breaks off by <end>
    When an upstream's answer with <framing> breaks off after each of its bytes by <end>
    Then it counts as complete "<complete>"

    Examples:
      | framing           | end   | complete                  |
      | a length          | close | with its last byte only   |
      | a length          | reset | with its last byte only   |
      | chunks            | close | with its last byte only   |
      | chunks            | reset | with its last byte only   |
      | trailers          | close | with its last byte only   |
      | trailers          | reset | with its last byte only   |
      | no length         | close | once its head is there    |
      | no length         | reset | never                     |
      | HTTP/1.0          | close | once its head is there    |
      | HTTP/1.0          | reset | never                     |

  # A copy of the first answer on a connection comes at one of four times.
  Scenario Outline: a second copy <time> is not the answer of the next request: <id>
    When an upstream sends a second copy of its answer <id> "<time>"
    Then the next request gets its own answer or fails, and never the copy

    Examples:
      | time                     | id            |
      | in the same segment      | with its id   |
      | in the same segment      | without an id |
      | before the next request  | with its id   |
      | before the next request  | without an id |
      | unread as the next is sent | with its id   |
      | unread as the next is sent | without an id |
      | after the next was read  | with its id   |
      | after the next was read  | without an id |
