"""Rate limits and retry delays of repeated operations."""

import random

from .ids import Millis

# A partition of the store takes 2 ms for each append; other writers need some of that time.
FLEET_CALL_SPACING = Millis(4)


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
        self._fill(now)
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def wait(self, count: int, now: Millis) -> Millis:
        """Return the time until `count` tokens will have been there, those of now included."""
        self._fill(now)
        return Millis(max(0.0, count - self.tokens) * self.refill_period)

    def set_tokens(self, tokens: float, now: Millis) -> None:
        """Replace the tokens."""
        self.tokens = tokens
        self.filled_at = now

    def set_rate(self, burst: float, refill_period: Millis, now: Millis) -> None:
        """Change the rate from now on; keeps the tokens up to the new burst."""
        self._fill(now)
        self.burst = burst
        self.refill_period = refill_period
        self.tokens = min(burst, self.tokens)

    def _fill(self, now: Millis) -> None:
        if self.filled_at is not None:
            gained = (now - self.filled_at) / self.refill_period
            self.tokens = min(self.burst, self.tokens + gained)
        self.filled_at = now


def full_jitter(attempt: int, base: Millis, cap: Millis, rng: random.Random) -> Millis:
    """Return a random delay from 0 to `base * 2**attempt`, but at most `cap`."""
    # The exponent is bounded because in a long outage the power would overflow a float.
    return Millis(rng.uniform(0, min(cap, base * 2 ** min(attempt, 16))))


def fleet_jitter(daemon_count: int, rng: random.Random) -> Millis:
    """Return a random delay that spreads calls which every daemon makes over what a store takes."""
    return Millis(rng.uniform(0.0, FLEET_CALL_SPACING * daemon_count))
