Feature: From a published configuration to an answered call
  Guards against a fleet that starts but does not take up configuration or carry calls.

  Scenario: a published configuration is in force and calls are answered
    Given a fleet of 1 upstream for each of "case-portal,van-booking" at "aarhus-a,koebenhavn-a"
    When the example configuration "lysknude" is published
    Then the client ends with code 0
    And every daemon answers a call to "/cases/1" by service "case-portal"
    And every daemon answers a call to "/vans/1" by service "van-booking"
    And a daemon that gets SIGTERM exits with code 0

  Scenario: calls need the key of a customer, and the upstream learns the customer's name
    Guards against calls without a key, and against keys that reach an upstream or a log.
    Given a fleet of 1 upstream for each of "case-portal,van-booking" at "aarhus-a,koebenhavn-a"
    When the example configuration "lysknude" is published with the customer "ann" holding "k-ann"
    Then the client ends with code 0
    And every daemon answers a call to "/cases/1" with "-" by 401, with "k-eve" by 401 and with "k-ann" by 200 for "ann"
    And no process of the fleet has written "k-ann"
