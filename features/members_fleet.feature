Feature: Membership of running daemons
  Guards against daemons whose processes die, stop, leave or restart unnoticed.

  Scenario: killed, restarted, replaced and leaving daemons are seen by all
    Guards against peers that keep an outdated state after a daemon's process ended or restarted.
    Given 4 daemons that know each other
    When daemon 3 gets SIGKILL
    Then the other daemons no longer list daemon 3
    When daemon 3 is started again
    Then every daemon lists 4 daemons as alive
    When daemon 3 is replaced under a new id at the same addresses
    Then every daemon lists 4 daemons as alive
    When daemon 2 gets SIGTERM
    Then the other daemons list daemon 2 as leaving
    And no daemon has more than 10 threads or 128 MiB of memory

  Scenario: a suspended daemon is dropped and comes back
    Guards against a paused daemon that its peers consider dead, or that keeps a stale view.
    Given 4 daemons that know each other
    When daemon 1 gets SIGSTOP
    Then the other daemons no longer list daemon 1
    When daemon 1 gets SIGCONT
    Then every daemon lists 4 daemons as alive
    And daemon 1 has logged that it synced its table after the pause

  Scenario: daemons that start while the log is down join when it is back
    Guards against daemons that give up joining because their first reads failed.
    Given a log service with an outage
    And 3 daemons that have started
    When the outage ends
    Then every daemon lists 3 daemons as alive

  Scenario: a mass restart
    Guards against a burst of announcements, and daemons that do not find each other again.
    Given 12 daemons that know each other
    When all daemons get SIGKILL and are started again
    Then every daemon lists 12 daemons as alive
    And the log holds at most 12 announcements
