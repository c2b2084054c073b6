Feature: From a published configuration to an answered call
  Guards against a fleet that starts but does not take up configuration or carry calls.

  Scenario: a published configuration is in force and calls are answered
    Given a fleet of 1 upstream for each of "case-portal,van-booking" at "aarhus-a,koebenhavn-a"
    When the example configuration "lysknude" is published
    Then the client ends with code 0
    And every daemon answers a call to "/cases/1" by service "case-portal"
    And every daemon answers a call to "/vans/1" by service "van-booking"
    And a daemon that gets SIGTERM exits with code 0
