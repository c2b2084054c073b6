"""Share of one daemon in a fleet-wide budget of repeated requests to a service."""

from ..ids import Millis

# A repeated run makes its own calls to the next service again. They count as repeats there, but
# only the daemon that repeated the run knows this. Two services in a chain may each spend this
# share; a fifth of the budget is left.
SHARE_PER_SERVICE = 0.4
# A daemon that crashes again and again must not get a full allowance at each restart.
INITIAL_TOKENS = 1.0


class FleetRetryBudget:
    """Token bucket filled by first arrivals and by a share of a fixed allowance.

    `ratio` is the number of repeats per first arrival, `slack` the number of extra repeats of the
    whole fleet per `window`; the share of one daemon is `slack / daemons`.
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
        """Add the tokens of a request that reached the service for the first time."""
        self.tokens = min(self.capacity, self.tokens + self.ratio)

    def take(self, daemons: int, now: Millis) -> bool:
        """Take the token of one repeat in a fleet of `daemons`; return False if there is none."""
        share = self.slack / max(1, daemons)
        # One half of the share is the refill per window, the other half bounds the accumulated
        # tokens, because these also count against the fixed allowance.
        self.capacity = INITIAL_TOKENS + share / 2
        if self.filled_at is not None:
            gained = (now - self.filled_at) / self.window * share / 2
            self.tokens = min(self.capacity, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
