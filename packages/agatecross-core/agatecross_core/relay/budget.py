"""Each daemon's share of a fleet-wide budget of repeated arrivals at a service."""

from ..ids import Millis

# Calls that a repeated run makes count as repeats too, and they are not visible to the daemon that
# repeated it, so only this share of the allowance is spent.
SAFETY_SHARE = 0.5
# A restarted daemon must not start with a full allowance each time it dies.
START_TOKENS = 1.0
MAX_TOKENS = 12.0


class FleetBudget:
    """Token bucket filled by a ratio of first arrivals and by a share of a fixed allowance.

    `ratio` is repeats for each first arrival, `slack` the extra repeats of the whole fleet in each
    `window`; the share of one daemon is `slack / daemons`.
    """

    def __init__(self, ratio: float, slack: float, window: Millis) -> None:
        """Start with one token."""
        self.ratio = ratio * SAFETY_SHARE
        self.slack = slack * SAFETY_SHARE
        self.window = window
        self.tokens = START_TOKENS
        self.filled_at: Millis | None = None

    def first_arrival(self) -> None:
        """Add the share of one first arrival."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def take(self, daemons: int, now: Millis) -> bool:
        """Take the token of one repeat in a fleet of `daemons`, if there is one."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) / self.window * self.slack / max(1, daemons)
            self.tokens = min(MAX_TOKENS, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
