"""Whether a call to a service may be hedged, and after which delay."""

from collections import deque
from collections.abc import Iterable

from ..ids import Millis
from ..states import Reason
from .model import Candidate
from .tuning import (
    HEDGE_MAX_REFUSAL_SHARE,
    HEDGE_MAX_UTILISATION,
    HEDGE_MIN_SAMPLES,
    MAX_LATENCY_SAMPLES,
    QUANTILE_REFRESH_SAMPLES,
    REFUSAL_WEIGHT,
)

OVERLOAD_REFUSALS = frozenset((Reason.QUEUE_FULL, Reason.SHED))


class ServiceLatency:
    """Recent latencies and share of overload refusals of the attempts at one service."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.samples: deque[float] = deque(maxlen=MAX_LATENCY_SAMPLES)
        self.refusal_share = 0.0
        self.samples_until_refresh = 0
        self.delay_by_quantile: dict[float, Millis] = {}

    def record(self, elapsed: Millis, reason: Reason | None) -> None:
        """Record an attempt; a refusal has no latency.

        The time of a cancelled attempt counts too: otherwise each hedge would lower the quantile.
        """
        refused = reason in OVERLOAD_REFUSALS
        self.refusal_share += REFUSAL_WEIGHT * (refused - self.refusal_share)
        if refused:
            return
        self.samples.append(elapsed)
        self.samples_until_refresh -= 1
        if self.samples_until_refresh <= 0:
            self.samples_until_refresh = QUANTILE_REFRESH_SAMPLES
            self.delay_by_quantile.clear()

    def hedge_after(self, quantile: float, rows: Iterable[Candidate]) -> Millis | None:
        """Return the delay of a hedge; None if hedging is off, latency unknown or load too high."""
        if not quantile or len(self.samples) < HEDGE_MIN_SAMPLES:
            return None
        if (
            self.refusal_share > HEDGE_MAX_REFUSAL_SHARE
            or utilisation(rows) > HEDGE_MAX_UTILISATION
        ):
            return None
        if quantile not in self.delay_by_quantile:
            ordered = sorted(self.samples)
            self.delay_by_quantile[quantile] = Millis(ordered[int(quantile * len(ordered))])
        return self.delay_by_quantile[quantile]


def utilisation(rows: Iterable[Candidate]) -> float:
    """Return the share of the slots of these upstreams that are in use."""
    pairs = [(candidate.load, candidate.upstream.slots) for candidate in rows]
    return sum(load for load, _ in pairs) / max(1, sum(slots for _, slots in pairs))
