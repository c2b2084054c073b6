"""Makes the calls to the platform's store and tracks its state; belongs to the store task."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from agatecross_adapters.protocols import StoreAnswer
from agatecross_core.distribution.store_era import EraChange, EraTracker, EraView
from agatecross_core.errors import HistoryLostError, StoreError
from agatecross_core.ids import Millis, StoreEra

from ..decision_log import DecisionLog
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import StoreReachability
from ..relay_metrics import RelayMetrics

T = TypeVar("T")

# A measured latency is reported to peers if it is below this share of the one they know.
LATENCY_UPDATE_RATIO = 0.5


class StoreCalls:
    """Tracks whether the store answers, how fast, and whether it came back from an older copy.

    `failures` counts the failed calls since the last answer.
    """

    def __init__(
        self,
        peers: Sender[StoreReachability],
        on_restored: Callable[[StoreEra, EraChange], None],
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        self.peers = peers
        self.on_restored = on_restored
        self.log = log
        self.metrics = metrics
        self.eras = EraTracker()
        self.failures = 0
        self.latency = Millis(0)

    @property
    def era(self) -> StoreEra | None:
        """Return the newest era that the store has named."""
        return self.eras.view.era

    def store_moved(self) -> None:
        """Forget the era, because the next calls go to another store."""
        self.eras = EraTracker()

    async def make(self, operation: str, call: Awaitable[StoreAnswer[T]]) -> StoreAnswer[T] | None:
        """Return the answer, or None on failure; logs only the first of consecutive failures.

        An answer from before the store came back from an older copy counts as a failure.
        Raises `HistoryLostError`.
        """
        asked_at, asked = monotonic_ms(), self.eras.view
        try:
            answer = await call
        except HistoryLostError as error:
            self._observe_era(operation, error.era, asked)
            raise
        except StoreError as error:
            self._observe_era(operation, error.era, asked)
            self._record_failure(operation, str(error))
            return None
        if self._observe_era(operation, answer.era, asked) is EraChange.OUTDATED:
            self._record_failure(operation, f"answer of era {answer.era}, present is {self.era}")
            return None
        self._record_success(operation, Millis(monotonic_ms() - asked_at))
        return answer

    def _observe_era(self, operation: str, era: StoreEra | None, asked: EraView) -> EraChange:
        was, change = self.era, self.eras.observe(era, asked)
        if era is None or change in (EraChange.NONE, EraChange.OUTDATED):
            return change
        self.metrics.store_era.set(era)
        if change is not EraChange.FIRST:
            self.log.write_change("store_restored", era=era, was=was, operation=operation)
            self.on_restored(era, change)
        return change

    def _record_failure(self, operation: str, reason: str) -> None:
        self.metrics.store_calls.labels(operation, "failed").inc()
        if not self.failures:
            self.log.write_change("store_lost", operation=operation, reason=reason)
        self.failures += 1
        self.peers.put(StoreReachability(False, self.latency))

    def _record_success(self, operation: str, took: Millis) -> None:
        self.metrics.store_calls.labels(operation, "done").inc()
        if self.failures:
            self.log.write_change("store_regained", failures=self.failures, era=_text(self.era))
        self.failures = 0
        # Whole milliseconds, as peers receive them. Every daemon selects the readers by latency; if
        # it used a different latency for itself than its peers do, each could expect the other to
        # read.
        took = Millis(max(1, int(took)))
        if not self.latency or took < LATENCY_UPDATE_RATIO * self.latency:
            self.latency = took
        self.peers.put(StoreReachability(True, self.latency))


def _text(era: StoreEra | None) -> str:
    return "" if era is None else str(era)
