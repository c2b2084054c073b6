"""Queues of updates that travel on control messages a limited number of times."""

import heapq
from collections.abc import Callable, Iterable
from itertools import accumulate
from typing import Generic, TypeVar

from ..constants import MAX_FINGERPRINTS
from ..ids import Millis
from .records import Clearance, Strike

K = TypeVar("K")

# At two messages sent and two received each second this is 4.8 KB/s, half of the control budget.
MAX_UPDATE_BYTES_PER_MESSAGE = 1_200
MAX_REPORTS_PER_MESSAGE = 8
# Longer than the 33 protocol periods in which 1,300 daemons stop sending an update, so a late
# copy does not start another round.
REPORT_RETENTION = Millis(120_000)


class UpdateQueue(Generic[K]):
    """Keys of updates with the number of times that each was sent."""

    def __init__(self) -> None:
        self.send_counts: dict[K, int] = {}

    def add(self, key: K) -> None:
        """Send the update under this key from the start again."""
        self.send_counts[key] = 0

    def discard(self, key: K) -> None:
        """Send the update no more."""
        self.send_counts.pop(key, None)

    def take(self, count: int, max_sends: int, size: Callable[[K], int] = lambda key: 0) -> list[K]:
        """Return up to `count` keys, least often sent first, and drop those sent `limit` times.

        Beyond the first key, the sizes in bytes add up to at most `MAX_UPDATE_BYTES`.
        """
        order = heapq.nsmallest(count, self.send_counts, key=self.send_counts.__getitem__)
        sizes = accumulate(size(key) for key in order)
        fitting = sum(1 for total in sizes if total <= MAX_UPDATE_BYTES_PER_MESSAGE)
        taken = order[: max(1, fitting)]
        for key in taken:
            self.send_counts[key] += 1
            if self.send_counts[key] >= max_sends:
                del self.send_counts[key]
        return taken


class ReportQueue:
    """Strikes and clearances: each is passed on and reported once within `REPORT_MEMORY`."""

    def __init__(self) -> None:
        self.queue: UpdateQueue[Strike | Clearance] = UpdateQueue()
        self.seen_at: dict[Strike | Clearance, Millis] = {}

    def add(
        self, strikes: Iterable[Strike], clearances: Iterable[Clearance], now: Millis
    ) -> tuple[tuple[Strike, ...], tuple[Clearance, ...]]:
        """Enqueue the reports that are new and return them."""
        new_strikes = tuple(strike for strike in strikes if self._enqueue_if_new(strike, now))
        for strike in new_strikes:
            # The call ran again since it was cleared, so its next clearance is news.
            self._forget(Clearance(strike.fingerprint))
        new_clearances = tuple(c for c in clearances if self._enqueue_if_new(c, now))
        for clearance in new_clearances:
            for daemon_id, incarnation in clearance.deaths:
                self.queue.discard(Strike(clearance.fingerprint, daemon_id, incarnation))
        return new_strikes, new_clearances

    def take(self, max_sends: int) -> tuple[tuple[Strike, ...], tuple[Clearance, ...]]:
        """Return the reports to put on the next message, each at most `limit` times."""
        reports = self.queue.take(MAX_REPORTS_PER_MESSAGE, max_sends)
        return (
            tuple(report for report in reports if isinstance(report, Strike)),
            tuple(report for report in reports if isinstance(report, Clearance)),
        )

    def _enqueue_if_new(self, report: Strike | Clearance, now: Millis) -> bool:
        seen = self.seen_at.pop(report, None)
        if seen is not None and now - seen < REPORT_RETENTION:
            self.seen_at[report] = seen
            return False
        self.seen_at[report] = now
        self.queue.add(report)
        if len(self.seen_at) > MAX_FINGERPRINTS:
            self._forget(next(iter(self.seen_at)))
        return True

    def _forget(self, report: Strike | Clearance) -> None:
        self.seen_at.pop(report, None)
        self.queue.discard(report)
