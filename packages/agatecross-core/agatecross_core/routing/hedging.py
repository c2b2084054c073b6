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
    """Recent latencies and refusals of the attempts of one service."""

    def __init__(self) -> None:
        """Start without attempts."""
        self.samples: deque[float] = deque(maxlen=MAX_LATENCY_SAMPLES)
        self.refusals = 0.0
        self.until_refresh = 0
        self.delays: dict[float, Millis] = {}

    def record(self, elapsed: Millis, reason: Reason | None) -> None:
        """Record an attempt; a refusal has no latency.

        The time of a cancelled attempt counts too: otherwise each hedge would lower the quantile.
        """
        refused = reason in OVERLOAD_REFUSALS
        self.refusals += REFUSAL_WEIGHT * (refused - self.refusals)
        if refused:
            return
        self.samples.append(elapsed)
        self.until_refresh -= 1
        if self.until_refresh <= 0:
            self.until_refresh = QUANTILE_REFRESH_SAMPLES
            self.delays.clear()

    def hedge_after(self, quantile: float, rows: Iterable[Candidate]) -> Millis | None:
        """Return the delay of a hedge; None if hedging is off, latency unknown or load too high."""
        if not quantile or len(self.samples) < HEDGE_MIN_SAMPLES:
            return None
        if self.refusals > HEDGE_MAX_REFUSAL_SHARE or utilisation(rows) > HEDGE_MAX_UTILISATION:
            return None
        if quantile not in self.delays:
            ordered = sorted(self.samples)
            self.delays[quantile] = Millis(ordered[int(quantile * len(ordered))])
        return self.delays[quantile]


def utilisation(rows: Iterable[Candidate]) -> float:
    """Return the share of the slots of these upstreams that are in use."""
    pairs = [(candidate.load, candidate.upstream.slots) for candidate in rows]
    return sum(load for load, _ in pairs) / max(1, sum(slots for _, slots in pairs))
