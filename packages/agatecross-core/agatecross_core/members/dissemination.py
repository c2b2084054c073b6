"""Queues of updates that are sent with control messages a limited number of times each."""

import heapq
from collections.abc import Callable, Iterable
from itertools import accumulate
from typing import Generic, TypeVar

from ..constants import MAX_FINGERPRINTS
from ..ids import Millis
from .records import Clearance, Strike

K = TypeVar("K")

# With two messages sent and two received per second, this is 4.8 KB/s, half the control budget.
MAX_UPDATE_BYTES_PER_MESSAGE = 1_200
MAX_REPORTS_PER_MESSAGE = 8
# Longer than the 33 protocol periods after which 1,300 daemons no longer send an update, so that a
# late copy does not start another round.
REPORT_RETENTION = Millis(120_000)


class UpdateQueue(Generic[K]):
    """Keys of updates, each with the number of times that it was sent."""

    def __init__(self) -> None:
        self.send_counts: dict[K, int] = {}

    def add(self, key: K) -> None:
        """Queue the update with this key and reset its send count."""
        self.send_counts[key] = 0

    def discard(self, key: K) -> None:
        """Stop sending the update with this key."""
        self.send_counts.pop(key, None)

    def take(self, count: int, max_sends: int, size: Callable[[K], int] = lambda key: 0) -> list[K]:
        """Return up to `count` keys, least often sent first, and drop those sent `max_sends` times.

        The first key is always returned; otherwise the sizes in bytes add up to at most
        `MAX_UPDATE_BYTES_PER_MESSAGE`.
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
    """Queues strikes and clearances; repeats within `REPORT_RETENTION` are ignored."""

    def __init__(self) -> None:
        self.queue: UpdateQueue[Strike | Clearance] = UpdateQueue()
        self.seen_at: dict[Strike | Clearance, Millis] = {}

    def add(
        self, strikes: Iterable[Strike], clearances: Iterable[Clearance], now: Millis
    ) -> tuple[tuple[Strike, ...], tuple[Clearance, ...]]:
        """Queue the reports that are new and return them."""
        new_strikes = tuple(strike for strike in strikes if self._enqueue_if_new(strike, now))
        for strike in new_strikes:
            # The request ran again after it was cleared, so its next clearance is a new report.
            self._forget(Clearance(strike.fingerprint))
        new_clearances = tuple(c for c in clearances if self._enqueue_if_new(c, now))
        for clearance in new_clearances:
            for daemon_id, incarnation in clearance.deaths:
                self.queue.discard(Strike(clearance.fingerprint, daemon_id, incarnation))
        return new_strikes, new_clearances

    def take(self, max_sends: int) -> tuple[tuple[Strike, ...], tuple[Clearance, ...]]:
        """Return the reports for the next message; each is sent at most `max_sends` times."""
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
