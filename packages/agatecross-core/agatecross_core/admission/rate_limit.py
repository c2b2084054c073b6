"""Keeps the calls of an upstream to the rate that it names in its responses."""

import math

from ..ids import ZERO_MS, Millis
from ..pacing import TokenBucket

MILLIS_PER_SECOND = 1000.0
# Calls that may start at once after a quiet time, as a share of those of a second. The platform
# tolerates the named rate half exceeded over 4 s.
BURST_SECONDS = 0.5
# An upstream that takes nothing gets one call in 2 s, as only an answer tells that its limit ended.
MIN_RATE = 0.5
# A single answer may lack the limit: it began before the limit did, or its head is damaged.
ANSWERS_WITHOUT_LIMIT = 3


class RateLimit:
    """Limit on the calls that start, in force from the answer that names it.

    `rate` is in calls per second, infinite without a limit. `is_known` tells whether an answer of
    the upstream has shown its limit, or that it has none.
    """

    def __init__(self) -> None:
        """Start without a limit."""
        self.rate = math.inf
        self.is_known = False
        self.bucket: TokenBucket | None = None
        self.answers_without = 0

    def read_answer(self, limit: float | None, now: Millis) -> None:
        """Apply the limit that an answer names, infinite if it names none.

        None, for a limit that cannot be read, changes nothing.
        """
        if limit is None:
            return
        self.is_known = True
        if math.isfinite(limit):
            self.answers_without = 0
            self._set_rate(limit, now)
            return
        self.answers_without += 1
        if self.answers_without >= ANSWERS_WITHOUT_LIMIT:
            self.rate = math.inf
            self.bucket = None

    def suggest(self, limit: float, now: Millis) -> None:
        """Apply a limit that a peer was told, unless an answer has shown the limit here."""
        if not self.is_known and math.isfinite(limit):
            self._set_rate(limit, now)

    def take(self, now: Millis) -> bool:
        """Return whether a call may start now, and count it if so."""
        return self.bucket is None or self.bucket.take(now)

    def wait(self, calls: int, now: Millis) -> Millis:
        """Return the time until this many calls may have started."""
        return ZERO_MS if self.bucket is None else self.bucket.wait(calls, now)

    def concurrency(self, mean_cost: float) -> float:
        """Return how many calls of `mean_cost` ms run at once at this rate."""
        return self.rate * mean_cost / MILLIS_PER_SECOND

    def _set_rate(self, limit: float, now: Millis) -> None:
        rate = max(MIN_RATE, limit)
        if rate == self.rate:
            return
        self.rate = rate
        period = Millis(MILLIS_PER_SECOND / rate)
        burst = max(1.0, BURST_SECONDS * rate)
        if self.bucket is None:
            self.bucket = TokenBucket(burst, period)
            self.bucket.set_tokens(0.0, now)
        else:
            self.bucket.set_rate(burst, period, now)
