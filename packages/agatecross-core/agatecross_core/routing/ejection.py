"""Preference filter: avoids upstreams whose connections failed recently."""

from collections.abc import Iterable, Iterator

from ..ids import DaemonId, Millis
from ..states import Reason
from .model import Candidate
from .prefer import prefer
from .tuning import ADAPTIVE_INITIAL_EJECTION_TIME, ADAPTIVE_MAX_EJECTION_TIME

# NO_UPSTREAM and LEAVING come from the target, which knows its state better than this daemon.
EJECTING_REASONS = frozenset(
    (Reason.CONNECT_FAILED, Reason.CONNECTION_LOST, Reason.NO_UPSTREAM, Reason.LEAVING)
)


class Ejections:
    """Tracks until when each upstream is ejected and how long its next ejection lasts."""

    def __init__(self) -> None:
        """Start without ejections."""
        self.rows: dict[DaemonId, tuple[Millis, Millis]] = {}

    def record_failure(self, daemon_id: DaemonId, now: Millis) -> None:
        """Eject an upstream; failures during the ejection do not prolong it."""
        until, period = self.rows.get(daemon_id, (now, ADAPTIVE_INITIAL_EJECTION_TIME))
        if now >= until:
            self.rows[daemon_id] = (
                Millis(now + period),
                Millis(min(ADAPTIVE_MAX_EJECTION_TIME, period * 2)),
            )

    def record_success(self, daemon_id: DaemonId) -> None:
        """Forget the failures of an upstream that answered."""
        self.rows.pop(daemon_id, None)

    def retain(self, daemon_ids: set[DaemonId]) -> None:
        """Forget members that are gone."""
        self.rows = {i: row for i, row in self.rows.items() if i in daemon_ids}

    def prefer_not_ejected(
        self, candidates: Iterable[Candidate], now: Millis
    ) -> Iterator[Candidate]:
        """Yield the candidates that are not ejected, or all if all are."""
        return prefer(candidates, lambda row: not self.is_ejected(row.member.daemon_id, now))

    def is_ejected(self, daemon_id: DaemonId, now: Millis) -> bool:
        """Return whether an upstream is ejected."""
        row = self.rows.get(daemon_id)
        return row is not None and now < row[0]
