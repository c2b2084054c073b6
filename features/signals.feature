Feature: Signals to a daemon
  A signal may come at any point of a daemon's life, also while it loads its libraries. Each row
  sends one at a fixed point: as the named module is imported, or after the daemon ended.

  Scenario Outline: <signal> <point> ends a <kind> daemon before it serves
    Given a daemon process with the settings of a <kind> daemon
    When <signal> comes <point>
    Then it ends with code 0 and logs "daemon_started" <started>

    Examples: guards against a stop that ends the process with the signal's code
      | kind     | signal  | point                                          | started |
      | relaying | SIGTERM | at the import of absl                          | never   |
      | relaying | SIGTERM | at the import of agatecross_daemon.sidecar     | never   |
      | relaying | SIGINT  | at the import of agatecross_daemon.sidecar     | never   |
      | fleet    | SIGTERM | at the import of absl                          | never   |
      | fleet    | SIGTERM | at the import of agatecross_daemon.fleet_daemon | never  |

  Scenario Outline: signals that were blocked at the start of a <kind> daemon are kept
    Given a daemon process with the settings of a <kind> daemon
    When SIGHUP and SIGTERM come before its interpreter runs, and are blocked
    Then it ends with code 0 and logs "daemon_started" never

    Examples: guards against signals lost before the daemon's first line, although they were blocked
      | kind     |
      | relaying |
      | fleet    |

  Scenario Outline: <signal> <point> leaves a <kind> daemon to serve until SIGTERM
    Given a daemon process with the settings of a <kind> daemon
    When <signal> comes <point>
    And SIGTERM comes after it started
    Then it ends with code 0 and logs "daemon_started" once

    Examples: guards against a reload that ends a starting daemon, and signals to an ending one
      | kind     | signal  | point                                           |
      | relaying | SIGHUP  | at the import of absl                           |
      | relaying | SIGHUP  | at the import of agatecross_daemon.sidecar      |
      | fleet    | SIGHUP  | at the import of agatecross_daemon.fleet_daemon |
      | relaying | SIGTERM | after its event loop was closed                 |
      | relaying | SIGHUP  | after its event loop was closed                 |
      | fleet    | SIGTERM | after its event loop was closed                 |
