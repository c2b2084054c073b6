Feature: Flow of a call
  Guards against calls that run twice, retries beyond their limits, and wrong final outcomes.

  Scenario Outline: <kind> call, <attempts> attempts, events "<events>"
    Given a "<kind>" call with <attempts> attempts and <tokens> tokens over "<upstreams>"
    When its actions are answered with "<events>"
    Then its actions were "<actions>" and it ended as "<outcome>"

    Examples: without hedge
      | kind           | attempts | tokens | upstreams | events                 | actions                         | outcome                 |
      | idempotent     | 3        | 9      | a b c     | ran                    | attempt a                       | ran                     |
      | idempotent     | 3        | 9      | a b c     | lost, ran              | attempt a, attempt b            | ran                     |
      | idempotent     | 3        | 9      | a b c     | lost, lost, lost       | attempt a, attempt b, attempt c | unknown connection-lost |
      | idempotent     | 3        | 9      | a b c     | lost, shed, shed       | attempt a, attempt b, attempt c | unknown connection-lost |
      | idempotent     | 3        | 9      | a b c     | shed, shed, shed       | attempt a, attempt b, attempt c | not-run shed            |
      | idempotent     | 3        | 9      | a         | lost                   | attempt a                       | unknown connection-lost |
      | idempotent     | 3        | 0      | a b c     | lost                   | attempt a                       | unknown connection-lost |
      | idempotent     | 3        | 1      | a b c     | shed, lost             | attempt a, attempt b            | unknown connection-lost |
      | idempotent     | 3        | 9      | a b c     | expired                | attempt a                       | not-run deadline        |
      | idempotent     | 1        | 9      | a b c     | lost                   | attempt a                       | unknown connection-lost |
      | idempotent     | 3        | 9      |           |                        |                                 | not-run no-upstream     |
      | non-idempotent | 3        | 9      | a b c     | lost                   | attempt a                       | unknown connection-lost |
      | non-idempotent | 3        | 9      | a b c     | shed, lost             | attempt a, attempt b            | unknown connection-lost |
      | non-idempotent | 3        | 9      | a b c     | shed, shed, ran        | attempt a, attempt b, attempt c | ran                     |

    Examples: with hedge
      | kind           | attempts | tokens | upstreams | events                 | actions                         | outcome                 |
      | hedged         | 3        | 9      | a b c     | elapsed, ran           | attempt a, hedge b              | ran                     |
      | hedged         | 3        | 9      | a b c     | elapsed, lost, ran     | attempt a, hedge b, await       | ran                     |
      | hedged         | 3        | 9      | a b c     | elapsed, shed, lost, ran | attempt a, hedge b, await, attempt c | ran              |
      | hedged         | 2        | 9      | a b c     | elapsed, lost, shed    | attempt a, hedge b, await       | unknown connection-lost |
      | hedged         | 2        | 9      | a b c     | elapsed, shed, lost    | attempt a, hedge b, await       | unknown connection-lost |
      | hedged         | 3        | 0      | a b c     | elapsed, ran           | attempt a, await                | ran                     |
      | hedged         | 3        | 9      | a         | elapsed, ran           | attempt a, await                | ran                     |
      | hedged         | 1        | 9      | a b c     | ran                    | attempt a                       | ran                     |
      | hedged         | 2        | 9      | a b c     | lost, ran              | attempt a, attempt b            | ran                     |

  Scenario: the deadline, the budget, the attempts and the counts hold for random calls
    Guards against orders of events that no written case has: attempts past a limit, a second run of
    a non-idempotent call, and attempts whose end the balancer is not told.
    Then random calls in virtual time keep every limit

  Scenario Outline: groups from bucket data, <data>, seed <seed>
    Guards against a group that is not found, and against upstreams grouped by chance or by a peak.
    When a detector observes 60 seconds of "<data>" with seed <seed>
    Then its groups are "<groups>"

    Examples:
      | data                     | seed | groups  |
      | noise                    | 1    |         |
      | noise                    | 2    |         |
      | noise                    | 3    |         |
      | independent slow moments | 1    |         |
      | independent slow moments | 2    |         |
      | hidden group             | 1    | 0 1 2   |
      | hidden group             | 2    | 0 1 2   |
      | hidden group             | 3    | 0 1 2   |
      | overload peak            | 1    |         |
      | overload peak            | 2    |         |
      | service peak             | 1    |         |
      | service peak             | 2    |         |
      | hidden group and peak    | 1    | 0 1 2   |
      | hidden group and peak    | 2    | 0 1 2   |

  Scenario: a group expires when its members no longer slow down together
    Guards against upstreams that stay grouped after their common cause has gone.
    When a detector observes 60 seconds of "hidden group" with seed 1
    And a detector observes 130 seconds of "noise" with seed 2
    Then its groups are ""

  Scenario: the state of the detector stays within its limits
    Guards against memory that grows with the number of upstreams and with time.
    When a detector observes 2000 upstreams for 120 seconds
    Then it keeps at most 512 histories of at most 601 buckets

  Scenario Outline: the driver reports how attempts end, <case>
    Guards against attempts that go on after their call, or whose end the balancer is told wrongly.
    Given a peer "a" that answers "<first>" after <wait> ms and a peer "b" that answers "ran" after 20 ms
    When the driver carries a call that is hedged after 30 ms
    Then the caller gets "<result>" and the balancer learned "<learned>"

    Examples:
      | case                         | first        | wait | result | learned                          |
      | no hedge                     | ran          | 1    | ran    | a ran load 2                     |
      | the loser is cancelled       | ran          | 3000 | ran    | b ran load 2, a cancelled        |
      | the first wins after a hedge | ran          | 40   | ran    | a ran load 2, b cancelled        |
      | an error status is a failure | error        | 1    | ran    | a ran failed load 2              |
      | lost while the hedge runs    | lost         | 40   | ran    | a connection-lost, b ran load 2  |
      | a caller that leaves         | caller-gone  | 3000 |        | a cancelled, b cancelled         |
