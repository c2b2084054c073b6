"""Creation of the balancer that is named in the settings."""

import random
from collections.abc import Callable, Mapping

from .baselines import RoundRobinBalancer, TwoRandomBalancer
from .model import DaemonLocation
from .router import AdaptiveBalancer, Balancer

BALANCERS: Mapping[str, Callable[[DaemonLocation, random.Random], Balancer]] = {
    "adaptive": AdaptiveBalancer,
    "round-robin": RoundRobinBalancer,
    "two-random": TwoRandomBalancer,
}


def new_balancer(name: str, here: DaemonLocation, rng: random.Random) -> Balancer:
    """Create the balancer with this name, which was validated with the settings."""
    return BALANCERS[name](here, rng)
