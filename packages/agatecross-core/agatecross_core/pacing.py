"""Rate limits and retry delays of repeated operations."""

import random

from .ids import Millis


class TokenBucket:
    """Holds up to `burst` tokens and gains one in each `refill_period`."""

    def __init__(self, burst: float, refill_period: Millis) -> None:
        """Start full."""
        self.burst = burst
        self.refill_period = refill_period
        self.tokens = burst
        self.filled_at: Millis | None = None

    def take(self, now: Millis) -> bool:
        """Take a token; return False if there is none."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) / self.refill_period
            self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def full_jitter(attempt: int, base: Millis, cap: Millis, rng: random.Random) -> Millis:
    """Return a random delay from 0 to `base * 2**attempt`, but at most `cap`."""
    # The exponent is bounded because in a long outage the power would overflow a float.
    return Millis(rng.uniform(0, min(cap, base * 2 ** min(attempt, 16))))
