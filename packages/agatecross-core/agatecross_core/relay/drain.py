"""When a stopping daemon tells that it leaves, which calls it still takes, and when it ends."""

from dataclasses import dataclass, replace

from ..ids import Millis

# Callers are moved to other daemons after two missed readiness checks, one a second.
CALLER_MOVE_TIME = Millis(2_600)
# Between the end of the drain and SIGKILL, for the close of connections and the end of the process.
EXIT_MARGIN = Millis(800)
# Handovers that peers sent before they heard of the leave still arrive: a round trip between
# regions, one retransmission, and the delay of a busy loop.
LEAVE_PROPAGATION_TIME = Millis(500)
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
    leave_known_at: Millis
    calls_end_by: Millis
    last_accept_at: Millis
    end: Millis

    def admits(self, now: Millis, deadline: Millis) -> bool:
        """Return whether a call that arrives now is taken."""
        return now < self.leave_at or deadline + ANSWER_MARGIN <= self.calls_end_by

    def with_open_calls(self, latest_deadline: Millis) -> "DrainPlan":
        """Return the plan of a daemon whose calls are all over at `latest_deadline`."""
        calls_over_at = max(latest_deadline + ANSWER_MARGIN, self.leave_known_at)
        return replace(self, calls_end_by=Millis(min(calls_over_at, self.last_accept_at)))


def plan_drain(stop_began_at: Millis, grace: Millis) -> DrainPlan:
    """Return the times of a stop that began at `begun` and is killed after `grace` milliseconds."""
    leave_at = Millis(stop_began_at + min(CALLER_MOVE_TIME, grace / 2))
    end = Millis(stop_began_at + max(grace - EXIT_MARGIN, grace / 2))
    last_accept_at = Millis(max(leave_at, end - LAST_REQUEST_TIME))
    leave_known_at = Millis(min(leave_at + LEAVE_PROPAGATION_TIME, last_accept_at))
    return DrainPlan(leave_at, leave_known_at, last_accept_at, last_accept_at, end)
