Feature: Control requests between daemons
  Guards against a daemon that never stops: its control listener waits for its responders to end,
  while peers go on sending requests or wait for answers.

  Scenario Outline: a control listener closes while <peers>
    Given a control listener whose handler <handler>
    When "<peers>" with <count> concurrent requests and the listener closes
    Then it has closed and every answer was complete

    Examples:
      | peers                      | handler           | count |
      | peers are silent           | answers           | 0     |
      | peers ask without a pause  | answers           | 8     |
      | peers ask again and again  | answers           | 40    |
      | peers wait for answers     | does not answer   | 8     |
