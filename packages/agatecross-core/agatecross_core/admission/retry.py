"""Retry budget that limits retries to a share of first attempts."""

MAX_RETRY_TOKENS = 10.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty."""

    def __init__(self, ratio: float) -> None:
        """Start full, so that a service with few calls can retry."""
        self.ratio = ratio
        self.tokens = MAX_RETRY_TOKENS

    def add_first_attempt(self) -> None:
        """Add the tokens of one first attempt."""
        self.tokens = min(MAX_RETRY_TOKENS, self.tokens + self.ratio)

    def take(self) -> bool:
        """Take the token of one retry; return False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
