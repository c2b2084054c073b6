"""Concurrency limit of an upstream, which is at most its announced slots.

When calls take longer than their baseline, a gradient on the service time lowers the limit, but not
below a quarter of the slots: a lower concurrency does not end a slowdown whose cause lies outside
the upstream, and enough calls must run to observe the upstream. When the upstream sheds a call, the
limit is lowered by a constant factor, down to one. In each window without either, the limit grows
by half, so that it is restored within a second.
"""

import math

from ..constants import (
    LIMIT_GROWTH_SHARE,
    LIMIT_MIN_GRADIENT,
    LIMIT_MIN_SAMPLES,
    LIMIT_SHED_FACTOR,
    LIMIT_SLOWDOWN_FLOOR_SHARE,
    LIMIT_TOLERATED_SLOWDOWN,
    LIMIT_WINDOW,
)
from ..ids import Millis


class ConcurrencyLimit:
    """Adapts the number of concurrent calls to the capacity of the upstream.

    `capacity` is the announced capacity, `fractional_limit` the limit before it is rounded down.
    """

    def __init__(self) -> None:
        self.capacity = 0
        self.fractional_limit = 0.0
        self.window_end = Millis(0)
        self.ratio_sum = 0.0
        self.sample_count = 0

    @property
    def value(self) -> int:
        """Return the number of calls that may run at once."""
        return min(self.capacity, max(1, math.floor(self.fractional_limit)))

    def set_capacity(self, capacity: int) -> None:
        """Set the announced capacity; after a change, the limit starts at the new capacity."""
        if capacity != self.capacity:
            self.capacity = capacity
            self.fractional_limit = float(capacity)

    def record_completion(self, ratio: float, now: Millis) -> None:
        """Record a completed call that took `ratio` times its baseline."""
        self.ratio_sum += ratio
        self.sample_count += 1
        if now >= self.window_end and self.sample_count >= LIMIT_MIN_SAMPLES:
            self._apply_gradient(self.ratio_sum / self.sample_count)
            self._start_window(now)

    def record_shed(self, running: int, now: Millis) -> None:
        """Lower the limit below the concurrency at which a call was shed, once per window."""
        if now >= self.window_end:
            self.fractional_limit = max(
                1.0, min(self.fractional_limit, running) * LIMIT_SHED_FACTOR
            )
            self._start_window(now)

    def record_idle(self, now: Millis) -> None:
        """Raise the limit while nothing runs: no completion can show a recovery."""
        if now >= self.window_end:
            self._grow()
            self._start_window(now)

    def _apply_gradient(self, ratio: float) -> None:
        gradient = max(LIMIT_MIN_GRADIENT, LIMIT_TOLERATED_SLOWDOWN / ratio) if ratio else 1.0
        if gradient >= 1.0:
            self._grow()
        else:
            floor = min(self.fractional_limit, max(1.0, self.capacity * LIMIT_SLOWDOWN_FLOOR_SHARE))
            self.fractional_limit = max(floor, self.fractional_limit * gradient)

    def _grow(self) -> None:
        self.fractional_limit = min(
            float(self.capacity),
            self.fractional_limit + max(1.0, self.fractional_limit * LIMIT_GROWTH_SHARE),
        )

    def _start_window(self, now: Millis) -> None:
        self.window_end = Millis(now + LIMIT_WINDOW)
        self.ratio_sum = 0.0
        self.sample_count = 0
