"""Calls whose connection to the upstream was lost, which may have crashed it."""

from ..ids import DaemonId, Incarnation, Millis
from ..members.records import Strike
from ..relay.model import Handover
from .model import relay_fingerprint

# A crash resets all connections at once; a refused connection within this time confirms the crash.
CRASH_WINDOW = Millis(1_500)


class LostCalls:
    """The calls that ran when the connections to the upstream next to a daemon were lost."""

    def __init__(self, daemon_id: DaemonId) -> None:
        """Start without calls."""
        self.daemon_id = daemon_id
        self.calls: list[tuple[Millis, Handover]] = []

    def record(self, handover: Handover, now: Millis) -> None:
        """Record a call whose connection was lost."""
        self.calls = [row for row in self.calls if now - row[0] < CRASH_WINDOW]
        self.calls.append((now, handover))

    def take_strikes(self, died: Incarnation, now: Millis) -> tuple[Strike, ...]:
        """Return a strike for each recent call, and forget them, as the upstream has crashed."""
        calls, self.calls = self.calls, []
        return tuple(
            Strike(relay_fingerprint(handover.service, handover.request), self.daemon_id, died)
            for at, handover in calls
            if now - at < CRASH_WINDOW
        )
