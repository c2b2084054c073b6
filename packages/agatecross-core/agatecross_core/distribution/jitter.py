"""Delays between attempts."""

import random

from ..ids import Millis


def full_jitter(attempt: int, base: Millis, cap: Millis, rng: random.Random) -> Millis:
    """Return a delay drawn from zero to `base` doubled for each earlier attempt, at most `cap`."""
    # The exponent is bounded because a long outage reaches attempts whose power overflows a float.
    return Millis(rng.uniform(0, min(cap, base * 2 ** min(attempt, 16))))
