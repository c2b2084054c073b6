"""Token bucket for appends to the log."""

from ..constants import CLAIM_APPEND_BURST, CLAIM_APPENDS_PER_SECOND
from ..ids import Millis


class AppendTokens:
    """Limits the appends of one daemon so that a fleet does not exhaust the log's limit."""

    def __init__(self) -> None:
        """Start full."""
        self.tokens = CLAIM_APPEND_BURST
        self.filled_at: Millis | None = None

    def take(self, now: Millis) -> bool:
        """Take the token of one append, if there is one."""
        if self.filled_at is not None:
            gained = (now - self.filled_at) * CLAIM_APPENDS_PER_SECOND / 1000
            self.tokens = min(CLAIM_APPEND_BURST, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
