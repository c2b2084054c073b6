"""Rates of events that follow changes."""

import math
from dataclasses import dataclass

from ..ids import ZERO_MS, Millis

FAST_SPAN = Millis(150)
SLOW_SPAN = Millis(700)
# A change beyond this many standard deviations of the fast rate is taken for real.
SURE_DEVIATIONS = 3.0


@dataclass(slots=True)
class DecayedRate:
    """Events a second, where earlier events count less and less over `span`.

    With `since`, nothing was counted before it, and the rate is that of the time after it.
    """

    span: Millis
    weight: float = 0.0
    at: Millis = ZERO_MS
    since: Millis | None = None

    def add(self, events: float, now: Millis) -> None:
        """Add events that happened now."""
        self.weight = self.weight * math.exp((self.at - now) / self.span) + events
        self.at = now

    def rate(self, now: Millis) -> float:
        """Return the events a second."""
        weight = self.weight * math.exp((self.at - now) / self.span)
        if self.since is not None:
            weight /= 1 - math.exp((self.since - max(now, self.since + 1)) / self.span)
        return weight / self.span * 1000

    def set_rate(self, rate: float, now: Millis) -> None:
        """Forget the past and start with a rate."""
        self.weight, self.at, self.since = rate * self.span / 1000, now, None


class DemandMeter:
    """Demand a second: slow in calm times, so that noise limits nobody, and fast at a change."""

    def __init__(self, since: Millis) -> None:
        """Start without demand at `since`, from when on calls are counted."""
        self.fast = DecayedRate(FAST_SPAN, at=since, since=since)
        self.slow = DecayedRate(SLOW_SPAN, at=since, since=since)
        # The squares of the calls in a report; a customer whose calls come in at few daemons has
        # large reports, and the fast rate jumps with each of them.
        self.squares = DecayedRate(SLOW_SPAN, at=since, since=since)

    def add(self, calls: int, now: Millis) -> None:
        """Add the calls of a report."""
        self.fast.add(calls, now)
        self.slow.add(calls, now)
        self.squares.add(calls * calls, now)

    def rate(self, now: Millis) -> float:
        """Return the calls a second."""
        fast, slow = self.fast.rate(now), self.slow.rate(now)
        squares = max(self.squares.rate(now), slow, 1.0)
        noise = SURE_DEVIATIONS * math.sqrt(squares / (2 * FAST_SPAN / 1000))
        if abs(fast - slow) > noise:
            self.slow.set_rate(fast, now)
            return fast
        return slow
