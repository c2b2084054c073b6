"""Recent use of the slots of one upstream by precedence, and recent demand by customer."""

import math
from collections.abc import Hashable, Mapping
from typing import Generic, TypeVar

from ..ids import NO_CUSTOMER, ZERO_MS, CustomerName, Millis

# Long enough for some tens of calls of an upstream with few slots, short enough to follow a burst.
USE_WINDOW = Millis(1_000)
# A hot customer takes the place of others until it is found: within a part of this time.
DEMAND_WINDOW = Millis(1_000)
# Bursts last some seconds; the usual demand must hardly follow them.
USUAL_WINDOW = Millis(30_000)
# About one call: the weight of a customer without usual demand.
MIN_USUAL_DEMAND = 100.0
# Calls of lower precedence are always expected to get this share of the slots, so that a busy
# second does not turn all of them away.
MIN_SHARE_LEFT = 0.1
# Independent calls vary by chance. Demand is over a share only if it exceeds it by this many
# standard deviations; with one, 1 to 2 calls in 100 are refused by chance on 3 slots.
CHANCE_DEVIATIONS = 2.0
# Customers below this sum are forgotten; it is far below the cost of one call.
FORGOTTEN_SUM = 0.1

K = TypeVar("K", bound=Hashable)


class RecentSums(Generic[K]):
    """Sums by key in which an amount loses its weight exponentially within `window`."""

    def __init__(self, window: Millis) -> None:
        """Start empty."""
        self.window = window
        self.sums: dict[K, float] = {}
        self.decayed_at = ZERO_MS

    def add(self, key: K, amount: float, now: Millis) -> None:
        """Add an amount to the sum of a key."""
        self.decay(now)
        self.sums[key] = self.sums.get(key, 0.0) + amount

    def decay(self, now: Millis) -> None:
        """Bring the sums up to date, and forget those that are nearly zero."""
        factor = math.exp(min(0.0, self.decayed_at - now) / self.window)
        self.decayed_at = now
        self.sums = {
            key: value * factor
            for key, value in self.sums.items()
            if value * factor > FORGOTTEN_SUM
        }


class SlotUse:
    """Share of the slots that calls of each precedence used during the last second.

    Load pattern: urgent calls that keep arriving overtake the waiting ones of lower rank. Counting
    only the calls that are ahead now, a queue holds the others for most of their time and refuses
    them in the end.
    """

    def __init__(self) -> None:
        """Start without use."""
        self.used: RecentSums[tuple[int, bool]] = RecentSums(USE_WINDOW)

    def record(self, precedence: tuple[int, bool], elapsed: Millis, now: Millis) -> None:
        """Record that a call occupied a slot for `elapsed` ms."""
        self.used.add(precedence, elapsed, now)

    def share_left(self, precedence: tuple[int, bool], slots: int, now: Millis) -> float:
        """Return the share of the slots that calls which go first are expected to leave over."""
        self.used.decay(now)
        ahead = sum(used for key, used in self.used.sums.items() if key < precedence)
        return max(MIN_SHARE_LEFT, 1.0 - ahead / (max(1, slots) * USE_WINDOW))


class CustomerDemand:
    """Finds the customers that ask for more than their fair share of one upstream.

    Load pattern: one customer sends several times its usual, and every queue fills with its calls.
    A share is the one by which the slots are just used up if nobody gets more than it (max-min
    fairness). A customer is over only if it asks for more than an equal share and also for more
    than a share in proportion to its usual demand: a large customer may stay as large as it is,
    and a small one may vary. While all demand fits into the slots, nobody is over.

    A second of few slots has few calls of each customer, whose number varies by chance. Counting
    that as demand over the share refuses calls of customers that ask for no more than usual.
    """

    def __init__(self) -> None:
        """Start without demand."""
        self.recent: RecentSums[CustomerName] = RecentSums(DEMAND_WINDOW)
        self.usual: RecentSums[CustomerName] = RecentSums(USUAL_WINDOW)

    def record(self, customer: CustomerName, cost: float, now: Millis, slots: int) -> bool:
        """Record a call of `cost` ms, served or not; return whether its customer is over its share.

        Demand over the share is not added to the usual demand, so that a burst does not become it.
        """
        if customer == NO_CUSTOMER:
            return False
        self.recent.add(customer, cost, now)
        is_over = self._is_over_share(customer, cost, slots)
        if not is_over:
            self.usual.add(customer, cost, now)
        return is_over

    def _is_over_share(self, customer: CustomerName, cost: float, slots: int) -> bool:
        asked = self.recent.sums
        capacity = slots * float(DEMAND_WINDOW)
        if sum(asked.values()) <= capacity or customer not in asked:
            return False
        equal_share = fair_level(asked, dict.fromkeys(asked, 1.0), capacity)
        if not exceeds_share(asked[customer], equal_share, cost):
            return False
        usual = {name: self.usual.sums.get(name, 0.0) + MIN_USUAL_DEMAND for name in asked}
        usual_share = fair_level(asked, usual, capacity) * usual[customer]
        return exceeds_share(asked[customer], usual_share, cost)


def exceeds_share(asked: float, share: float, cost: float) -> bool:
    """Return whether demand by calls of `cost` ms exceeds a share by more than chance explains."""
    return asked > share + CHANCE_DEVIATIONS * math.sqrt(share * cost)


def fair_level(
    asked: Mapping[CustomerName, float], weights: Mapping[CustomerName, float], capacity: float
) -> float:
    """Return the share for each unit of weight by which the capacity is just used up."""
    weight_left = sum(weights[customer] for customer in asked)
    for customer in sorted(asked, key=lambda name: asked[name] / weights[name]):
        level = capacity / weight_left
        if asked[customer] > level * weights[customer]:
            return level
        capacity -= asked[customer]
        weight_left -= weights[customer]
    return math.inf
