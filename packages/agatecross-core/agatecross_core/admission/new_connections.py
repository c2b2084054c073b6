"""When a new connection to an upstream may carry its first request."""

from typing import Final

from ..ids import Millis

# A process on the same machine accepts or resets a new connection within a few milliseconds.
SETTLE_TIME: Final = Millis(5)
# An upstream that reset a new connection may do so again for as long as its queue is full.
RESET_MEMORY: Final = Millis(2_000)
# A reset may be the sign of a crash, which a refused connection confirms.
PROBE_PERIOD: Final = Millis(100)


class NewConnections:
    """Delays the first request of a new connection while the upstream resets such connections.

    Load pattern: an upstream that is full and resets each new connection. A request that was
    written to one may have run, so it must not run elsewhere; one that was not written may.
    """

    def __init__(self) -> None:
        """Start without a reset."""
        self.settle_for = SETTLE_TIME
        self.reset_at: Millis | None = None

    def record_reset(self, now: Millis) -> None:
        """Record that the upstream ended a connection before it had sent a byte on it."""
        self.reset_at = now

    def settle_time(self, now: Millis) -> Millis:
        """Return how long a connection opened now stays unused, in case it is reset."""
        is_recent = self.reset_at is not None and now - self.reset_at < RESET_MEMORY
        return self.settle_for if is_recent else Millis(0)
