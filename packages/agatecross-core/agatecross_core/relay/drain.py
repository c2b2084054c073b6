"""Plan of a stop: when the daemon announces its leave, which calls it accepts, when it ends."""

from dataclasses import dataclass, replace

from ..ids import Millis

# Callers are moved to other daemons after two missed readiness checks, which run once a second.
CALLER_MOVE_TIME = Millis(2_600)
# Time between the end of the drain and SIGKILL to close connections and end the process.
EXIT_MARGIN = Millis(800)
# Handovers that peers sent before they learnt of the leave still arrive within this time: a round
# trip between regions, one retransmission, and the delay of a busy event loop.
LEAVE_PROPAGATION_TIME = Millis(500)
# A caller whose connection was accepted last sends its request within one round trip.
LAST_REQUEST_TIME = Millis(100)
# Time between the deadline of a call and the end of the drain, for a late timer and the answer.
ANSWER_MARGIN = Millis(250)


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """Times of one stop, in milliseconds on the monotonic clock.

    Until `leave_at`, callers and peers are served as before. From then on, a call is accepted only
    if it ends by `calls_end_by`, so that the drain neither cuts it nor lasts longer because of it.
    The peers know of the leave by `leave_known_at`; connections are accepted until `last_accept_at`
    at the latest, and connections that are still open at `end` are cut.
    """

    leave_at: Millis
    leave_known_at: Millis
    calls_end_by: Millis
    last_accept_at: Millis
    end: Millis

    def admits(self, now: Millis, deadline: Millis) -> bool:
        """Return whether a call that arrives now is accepted."""
        return now < self.leave_at or deadline + ANSWER_MARGIN <= self.calls_end_by

    def with_open_calls(self, latest_deadline: Millis) -> "DrainPlan":
        """Return the plan of a daemon whose open calls all end by `latest_deadline`."""
        calls_over_at = max(latest_deadline + ANSWER_MARGIN, self.leave_known_at)
        return replace(self, calls_end_by=Millis(min(calls_over_at, self.last_accept_at)))


def plan_drain(stop_began_at: Millis, grace: Millis) -> DrainPlan:
    """Return the plan of a stop that is followed by SIGKILL after `grace` milliseconds."""
    leave_at = Millis(stop_began_at + min(CALLER_MOVE_TIME, grace / 2))
    end = Millis(stop_began_at + max(grace - EXIT_MARGIN, grace / 2))
    last_accept_at = Millis(max(leave_at, end - LAST_REQUEST_TIME))
    leave_known_at = Millis(min(leave_at + LEAVE_PROPAGATION_TIME, last_accept_at))
    return DrainPlan(leave_at, leave_known_at, last_accept_at, last_accept_at, end)
