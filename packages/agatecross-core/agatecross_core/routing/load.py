"""What this daemon observes of each peer: outstanding calls and latency."""

from dataclasses import dataclass

from ..ids import DaemonId, Millis

LATENCY_WEIGHT = 0.2


@dataclass(slots=True)
class Observed:
    """Calls outstanding to a member and the moving average of its latency in milliseconds."""

    outstanding: int = 0
    latency_ms: float = 0.0


class LoadTable:
    """Observed load by member."""

    def __init__(self) -> None:
        """Start without observations."""
        self.rows: dict[DaemonId, Observed] = {}

    def of(self, daemon_id: DaemonId) -> Observed:
        """Return the observations of a member."""
        row = self.rows.get(daemon_id)
        return row if row is not None else Observed()

    def started(self, daemon_id: DaemonId) -> None:
        """Count a call that was sent."""
        self.rows.setdefault(daemon_id, Observed()).outstanding += 1

    def finished(self, daemon_id: DaemonId, took: Millis) -> None:
        """Count a call that ended after `took` milliseconds."""
        row = self.rows.setdefault(daemon_id, Observed())
        row.outstanding = max(0, row.outstanding - 1)
        old = row.latency_ms or took
        row.latency_ms = old + LATENCY_WEIGHT * (took - old)

    def retain(self, daemon_ids: set[DaemonId]) -> None:
        """Forget members that are gone and have no calls outstanding."""
        gone = [i for i, row in self.rows.items() if i not in daemon_ids and not row.outstanding]
        for daemon_id in gone:
            del self.rows[daemon_id]
