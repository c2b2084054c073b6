Feature: Listeners and daemons that stop
  Guards against requests that were accepted and end without an answer because a listener or its
  daemon stops.

  Scenario: no request runs after the last answer of a connection
    Guards against a request that runs and then ends with the connection, without an answer.
    Given a listener that is about to close
    When a slow reader gets the last answer of a connection after it sent another request
    Then one request was handled
