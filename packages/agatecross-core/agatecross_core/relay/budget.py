"""Each daemon's share of a fleet-wide budget of repeated arrivals at a service."""

from ..ids import Millis

# Calls that a repeated run makes count as repeats at the service it calls, and only the daemon that
# repeated the run knows. Runs of two services in a row may each spend this share; a fifth is left.
SHARE_PER_SERVICE = 0.4
# A restarted daemon must not start with a full allowance each time it dies.
INITIAL_TOKENS = 1.0


class FleetRetryBudget:
    """Token bucket filled by a ratio of first arrivals and by a share of a fixed allowance.

    `ratio` is repeats for each first arrival, `slack` the extra repeats of the whole fleet in each
    `window`; the share of one daemon is `slack / daemons`.
    """

    def __init__(self, ratio: float, slack: float, window: Millis) -> None:
        """Start with one token."""
        self.ratio = ratio * SHARE_PER_SERVICE
        self.slack = slack * SHARE_PER_SERVICE
        self.window = window
        self.tokens = INITIAL_TOKENS
        self.capacity = INITIAL_TOKENS
        self.filled_at: Millis | None = None

    def add_first_arrival(self) -> None:
        """Add the share of one first arrival."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self, daemons: int, now: Millis) -> bool:
        """Take the token of one repeat in a fleet of `daemons`, if there is one."""
        share = self.slack / max(1, daemons)
        # What all daemons can save up together is part of the fixed allowance.
        self.capacity = INITIAL_TOKENS + share / 2
        if self.filled_at is not None:
            gained = (now - self.filled_at) / self.window * share / 2
            self.tokens = min(self.capacity, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
