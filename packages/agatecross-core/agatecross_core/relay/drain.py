"""When a stopping daemon tells that it leaves, which calls it still takes, and when it ends."""

from dataclasses import dataclass, replace

from ..ids import Millis

# Callers are moved to other daemons after two missed readiness checks, one a second.
MOVE_AWAY = Millis(2_600)
# Between the end of the drain and SIGKILL, for the close of connections and the end of the process.
EXIT_MARGIN = Millis(800)
# Handovers that peers sent before they heard of the leave still arrive: a round trip between
# regions, one retransmission, and the delay of a busy loop.
SETTLE_TIME = Millis(500)
# Callers whose connection was accepted last send their request within a round trip to them.
LAST_REQUEST_TIME = Millis(100)
# From the deadline of a call to the end of the drain, for a late timer and for its answer.
ANSWER_MARGIN = Millis(250)


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """Times of one stop, on the monotonic clock in milliseconds.

    Until `leave_at` callers and peers are served as before. Then a call is taken only if it is over
    by `work_until`, so the drain neither cuts it nor takes longer for it. Peers have heard of the
    leave at `settled_at`; connections are accepted until `last_accept` at the latest, and what is
    open at `end` is cut.
    """

    leave_at: Millis
    settled_at: Millis
    work_until: Millis
    last_accept: Millis
    end: Millis

    def admits(self, now: Millis, deadline: Millis) -> bool:
        """Return whether a call that arrives now is taken."""
        return now < self.leave_at or deadline + ANSWER_MARGIN <= self.work_until

    def with_open_calls(self, latest_deadline: Millis) -> "DrainPlan":
        """Return the plan of a daemon whose calls are all over at `latest_deadline`."""
        over = max(latest_deadline + ANSWER_MARGIN, self.settled_at)
        return replace(self, work_until=Millis(min(over, self.last_accept)))


def plan_drain(begun: Millis, grace: Millis) -> DrainPlan:
    """Return the times of a stop that began at `begun` and is killed after `grace` milliseconds."""
    leave_at = Millis(begun + min(MOVE_AWAY, grace / 2))
    end = Millis(begun + max(grace - EXIT_MARGIN, grace / 2))
    last_accept = Millis(max(leave_at, end - LAST_REQUEST_TIME))
    settled_at = Millis(min(leave_at + SETTLE_TIME, last_accept))
    return DrainPlan(leave_at, settled_at, last_accept, last_accept, end)
