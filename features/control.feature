Feature: Control requests between daemons
  Guards against a daemon that never stops, since its control listener waits for itself.

  Scenario Outline: a control listener closes while <peers>
    Given a control listener whose handler <handler>
    When <count> requests at once are repeated while "<peers>" and it closes
    Then it has closed and every answer was whole

    Examples:
      | peers                      | handler           | count |
      | peers are silent           | answers           | 0     |
      | peers ask without a pause  | answers           | 8     |
      | peers ask again and again  | answers           | 40    |
      | peers wait for answers     | does not answer   | 8     |
