"""Token bucket that limits this daemon's own appends."""

from ..ids import Millis


class TokenBucket:
    """Holds up to `burst` tokens and gains one in each `refill` period."""

    def __init__(self, burst: int, refill: Millis) -> None:
        """Start full."""
        self.burst = burst
        self.refill = refill
        self.tokens = float(burst)
        self.filled_at: Millis | None = None

    def take(self, now: Millis) -> bool:
        """Take a token if there is one."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) / self.refill
            self.tokens = min(float(self.burst), self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
