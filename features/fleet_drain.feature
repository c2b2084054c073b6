Feature: Listeners and daemons that stop
  Guards against requests that were accepted and end without an answer because a listener or its
  daemon stops.

  Scenario: no request runs after the last answer of a connection
    Guards against a request that runs and then ends with the connection, without an answer.
    Given a listener that is about to close
    When a slow reader gets the last answer of a connection after it sent another request
    Then one request was handled

  Scenario Outline: the last answer of a connection arrives whole though <bytes> followed its request
    Guards against a reset that discards the part of the answer that was not delivered yet.
    Given a listener that is about to close
    When a slow reader gets the last answer of a connection after it sent <bytes>
    Then the whole answer arrives

    Examples:
      | bytes                   |
      | another request         |
      | part of a large request |
