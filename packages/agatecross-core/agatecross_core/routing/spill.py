"""Whether a call leaves its data centre, and for which locality."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..admission.slot_use import RecentSums
from ..ids import Millis
from ..members.directory import Endpoint
from ..states import Locality

# A call stays where the expected wait takes at most this share of the time that it can spare before
# its objective. The rest covers errors of the estimate: a daemon learns the load of an upstream
# only from its own calls, and the queue there may put others first.
WAIT_SHARE = 0.5
# A call is expected to take this multiple of the mean time, as in the queue of the upstream.
RUN_TIME_FACTOR = 1.2
# After this many attempts in its data centre, a call goes farther. A refusal there costs a round
# trip of well under a millisecond.
MAX_NEAR_ATTEMPTS = 2
# Bytes that are sent to other data centres in vain, as a share of the bytes of all calls.
VAIN_SHARE = 0.05
# Further bytes that may be sent in vain, as a share of those that other data centres answered: in
# an overload of everything most calls that leave are refused, and with room elsewhere few are.
ANSWERED_SHARE = 0.25
# What a daemon may save up of that share, in calls of its largest route.
VAIN_CALLS = 4
# A daemon sends some calls of a route to other data centres in this time.
REFUSALS_WINDOW = Millis(2_000)
# With less weight of results a locality counts as having room, so that it is asked again.
MIN_RESULTS = 0.5
REFUSING_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Offer:
    """What an upstream is expected to do with a call.

    The call is expected to wait for `wait` and to run for `run_time`. An upstream that fails or
    cannot be reached is not `available`. The upstreams of a `refusing` locality refused most of the
    last calls of the route.
    """

    endpoint: Endpoint
    locality: Locality
    wait: Millis
    run_time: Millis
    available: bool
    refusing: bool = False

    def is_in_time(self, objective_left: Millis) -> bool:
        """Return whether the call is expected to be answered within its objective."""
        spare = objective_left - RUN_TIME_FACTOR * self.run_time
        return self.available and spare > 0 and self.wait <= WAIT_SHARE * spare


class LocalityRefusals:
    """Finds the localities that refused most of the calls of a route during the last seconds.

    Load pattern: a whole region is full for some seconds while another one has room. Asking two
    upstreams near by and one in the region would refuse calls that the other region can serve.
    """

    def __init__(self) -> None:
        """Start without results."""
        self.results: RecentSums[tuple[str, Locality]] = RecentSums(REFUSALS_WINDOW)
        self.refused: RecentSums[tuple[str, Locality]] = RecentSums(REFUSALS_WINDOW)

    def record(self, route: str, locality: Locality, refused: bool, now: Millis) -> None:
        """Record the result of an attempt."""
        self.results.add((route, locality), 1.0, now)
        self.refused.add((route, locality), float(refused), now)

    def includes(self, route: str, locality: Locality, now: Millis) -> bool:
        """Return whether a locality refuses most calls of a route."""
        self.results.decay(now)
        self.refused.decay(now)
        results = self.results.sums.get((route, locality), 0.0)
        refused = self.refused.sums.get((route, locality), 0.0)
        return results >= MIN_RESULTS and refused >= REFUSING_SHARE * results


class SpillAllowance:
    """Bounds the bytes that calls take to other data centres in vain.

    Load pattern: all data centres are full. Calls that leave one are refused in the next, and large
    ones fill the links between them. Each call that leaves takes its size from the allowance and
    returns somewhat more when it is answered, so more calls may leave for as long as most of them
    find room elsewhere.
    """

    def __init__(self) -> None:
        """Start with nothing left, so that a daemon that starts sends little in vain."""
        self.left = 0.0

    def add_call(self, size: float, largest: float) -> None:
        """Record a call of this size, wherever it goes; `largest` is the size of the largest."""
        self._add(VAIN_SHARE * size, largest)

    def allows(self, size: float) -> bool:
        """Return whether a call of this size may leave."""
        return self.left >= size

    def take(self, size: float) -> None:
        """Record a call that leaves; one that cannot stay may exceed the allowance."""
        self.left = max(0.0, self.left - size)

    def give_back(self, size: float, largest: float) -> None:
        """Record the answer to a call that left."""
        self._add((1 + ANSWERED_SHARE) * size, largest)

    def _add(self, size: float, largest: float) -> None:
        self.left = min(self.left + size, VAIN_CALLS * largest)


def select_offer(
    nearest_first: Iterable[Offer], objective_left: Millis, attempts: int, may_leave: bool
) -> Offer | None:
    """Return the offer for the next attempt of a call, None without any.

    `nearest_first` has the best offer of each locality; the far ones are asked for only when they
    are needed.

    Load patterns: demand that crests in each data centre at another time, where calls leave only
    while they would be late near by, so that most bytes stay; and calls of a low rank that a full
    data centre refuses while the next one has room.
    """
    first: Offer | None = None
    for offer in reachable_offers(nearest_first, attempts, may_leave):
        if offer.is_in_time(objective_left):
            return offer
        first = first or offer
    return first


def reachable_offers(
    nearest_first: Iterable[Offer], attempts: int, may_leave: bool
) -> Iterator[Offer]:
    """Yield the offers to which the next attempt may go.

    Without an available upstream near by that was not tried, a call may always leave.
    """
    offers = iter(nearest_first)
    nearest = next(offers, None)
    if nearest is None:
        return
    is_near = nearest.locality is Locality.DATA_CENTRE
    max_near_attempts = 1 if nearest.refusing else MAX_NEAR_ATTEMPTS
    if is_near and nearest.available and not may_leave:
        yield nearest
    elif is_near and attempts >= max_near_attempts:
        yield from sorted(offers, key=lambda offer: offer.refusing) or [nearest]
    else:
        yield nearest
        yield from offers
