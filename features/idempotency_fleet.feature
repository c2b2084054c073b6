Feature: Idempotency keys across processes
  Guards against a booking that two daemons, two regions or a restarted daemon run twice.

  Background:
    Given a fleet of 1 upstream for each of "van-booking" at "aarhus-a,aalborg-b,koebenhavn-a"
    And the example configuration "lysknude" is in force

  Scenario Outline: <case>
    When <events>
    Then the answers are "<answers>"
    And the booking was executed <times>

    Examples:
      | case                              | events                                                               | answers                                              | times   |
      | one booking through three daemons | bookings are sent through daemons "0,1,2,0,1,2" at once               | ran,ran,ran,ran,ran,ran                              | once    |
      | holder killed, booking resent     | the holder 0 of a running booking is killed and it is resent through "1,2" | unknown,unknown                                | once    |
      | caller disconnects and resends    | a caller of daemon 0 disconnects and resends through "1,0"            | ran,ran                                              | once    |
      | log down                          | the log is down and bookings are sent through daemons "0,1" at once   | not-run,not-run                                      | never   |
      | lost append answer                | the log loses 2 answers and bookings are sent through daemons "0,1" at once | ran,ran                                        | once    |
