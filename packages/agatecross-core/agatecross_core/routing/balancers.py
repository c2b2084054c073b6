"""Creates the balancer that the settings name."""

import random
from collections.abc import Callable, Mapping

from .baselines import RoundRobinBalancer, TwoRandomBalancer
from .model import Position
from .router import AdaptiveBalancer, Balancer

BALANCERS: Mapping[str, Callable[[Position, random.Random], Balancer]] = {
    "adaptive": AdaptiveBalancer,
    "round-robin": RoundRobinBalancer,
    "two-random": TwoRandomBalancer,
}


def new_balancer(name: str, here: Position, rng: random.Random) -> Balancer:
    """Return a new balancer; the settings were checked to name one of them."""
    return BALANCERS[name](here, rng)
