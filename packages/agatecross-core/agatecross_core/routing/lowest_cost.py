"""Choice of an upstream by distance, load and observed speed."""

import math
import random
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass

from ..ids import ZERO_MS, DaemonId, DataCentreName, InstanceId, Millis, RegionName
from ..members.directory import Endpoint
from ..relay.model import RelayResult
from ..states import Locality, Outcome, Reason
from .spill import LocalityRefusals, Offer, SpillAllowance, select_offer

# A reported load loses half of its weight in this time: calls last some tens of milliseconds.
REPORTED_LOAD_HALF_LIFE = Millis(250)
SIZE_SAMPLE_WEIGHT = 0.05
KIB = 1024
MEAN_SAMPLE_WEIGHT = 0.02
# A single call counts as at most this multiple of the mean time.
MAX_OUTLIER_FACTOR = 4.0
# High, because a reported cost is already a mean over many calls.
SLOWNESS_SAMPLE_WEIGHT = 0.5
LOWEST_COST_FAILURE_WEIGHT = 0.15
# An upstream that fails one call in five costs as much as one with twice the load.
LOWEST_COST_FAILURE_COST = 5.0
LOWEST_COST_FAILURE_HALF_LIFE = Millis(1_500)
# Upstreams of one service differ in speed; a fast one needs about this share of the mean cost.
FASTEST_COST_SHARE = 0.4
# Limits how far the speed of the last calls can shift traffic.
MAX_SLOWNESS = 6.0
MIN_SLOWNESS = 0.3
# A second attempt of a slow call is sent only to an upstream of which more than half of the
# slots stay free with it.
SECOND_ATTEMPT_MAX_BUSY_SHARE = 0.5
# An upstream that fails more than this share of its calls is used only without another one.
MAX_FAILURE_SHARE = 0.3
LOWEST_COST_EJECTION_TIME = Millis(400)
# An upstream that refused a call for lack of room has room again within some tens of milliseconds.
REFUSAL_PAUSE = Millis(50)
# Ranks an upstream behind all others.
EJECTED_COST = 100.0
COLD_SLOTS_DIVISOR = 2.0
SERVER_ERROR = 500
UNREACHABLE_REASONS = frozenset(
    (Reason.CONNECT_FAILED, Reason.NO_UPSTREAM, Reason.LEAVING, Reason.WRONG_INSTANCE)
)
OVERLOAD_REASONS = frozenset(
    (
        Reason.QUEUE_FULL,
        Reason.OVERLOADED,
        Reason.OVER_SHARE,
        Reason.LIMITED,
        Reason.SHED,
        Reason.DEADLINE,
    )
)


@dataclass(slots=True)
class InstanceStats:
    """Observations of one instance of an upstream.

    `slowness` is a moving average of the cost that it reports for a route, divided by the mean cost
    of that route; `failure_share` is the recent share of failed attempts, from 0 to 1. `limit` is
    the number of calls per second that the upstream named in its last answer, infinite without one.
    Until `ejected_until` it is taken to be unreachable, and until `full_until` to have no room.
    `cold_until` is the end of its warm-up, None before the first choice.
    """

    instance: InstanceId
    locality: Locality
    outstanding: int = 0
    others_load: float = 0.0
    load_reported_at: Millis = ZERO_MS
    slots: int = 0
    slowness: float = 1.0
    failure_share: float = 0.0
    failures_updated_at: Millis = ZERO_MS
    ejected_until: Millis = ZERO_MS
    full_until: Millis = ZERO_MS
    cold_until: Millis | None = None
    limit: float = math.inf


class LowestCostBalancer:
    """Chooses endpoints for attempts and learns from their results.

    Load pattern: upstreams of different speed, of which each daemon sees only its own calls.
    """

    def __init__(self, region: RegionName, data_centre: DataCentreName, rng: random.Random) -> None:
        """Start without observations."""
        self.region = region
        self.data_centre = data_centre
        self.rng = rng
        self.stats: dict[DaemonId, InstanceStats] = {}
        self.mean_times: dict[str, float] = {}
        self.mean_costs: dict[str, float] = {}
        self.mean_sizes: dict[str, float] = {}
        self.spill = SpillAllowance()
        self.refusals = LocalityRefusals()

    def choose(
        self,
        endpoints: Iterable[Endpoint],
        tried: Collection[DaemonId],
        route: str,
        objective_left: Millis,
        now: Millis,
    ) -> Endpoint | None:
        """Return the endpoint for the next attempt that was not tried, or None.

        `objective_left` is the time left until the call's latency objective.
        """
        untried = (endpoint for endpoint in endpoints if endpoint.daemon_id not in tried)
        offers = self._best_offers(untried, route, now)
        may_leave = self.spill.allows(self._size_of(route))
        chosen = select_offer(offers, objective_left, len(tried), may_leave)
        return None if chosen is None else chosen.endpoint

    def cost(self, endpoint: Endpoint, now: Millis) -> float:
        """Return the share of busy slots, scaled by slowness and failures; high while ejected."""
        stats = self.stats_of(endpoint)
        busy = (self._load_of(stats, now) + 1.0) / self._slots_of(endpoint, stats, now)
        failure_share = self._failure_share_of(stats, now)
        cost = (busy + 0.1) * stats.slowness * (1 + LOWEST_COST_FAILURE_COST * failure_share)
        if now < stats.full_until or not self._is_available(stats, now):
            cost += EJECTED_COST
        return cost + self.rng.random() * 0.02

    def _best_offers(
        self, endpoints: Iterable[Endpoint], route: str, now: Millis
    ) -> Iterator[Offer]:
        """Yield the offer of the upstream with the lowest cost in each locality, nearest first."""
        rows: dict[Locality, list[Endpoint]] = {locality: [] for locality in Locality}
        for endpoint in endpoints:
            rows[self.locality_of(endpoint)].append(endpoint)
        for locality, known in rows.items():
            if known:
                best = min(known, key=lambda endpoint: self.cost(endpoint, now))
                yield self._offer(best, locality, route, now)

    def _offer(self, endpoint: Endpoint, locality: Locality, route: str, now: Millis) -> Offer:
        stats = self.stats_of(endpoint)
        run_time = Millis(self.mean_costs.get(route, 0.0) * stats.slowness)
        slots = self._slots_of(endpoint, stats, now)
        waiting = max(0.0, self._load_of(stats, now) + 1.0 - slots)
        wait = Millis(math.inf if now < stats.full_until else waiting / slots * run_time)
        available = self._is_available(stats, now)
        refusing = self.refusals.includes(route, locality, now)
        return Offer(endpoint, locality, wait, run_time, available, refusing)

    def mean_time_of(self, route: str) -> Millis | None:
        """Return the mean time of the served calls of a route."""
        mean = self.mean_times.get(route)
        return None if mean is None else Millis(mean)

    def least_time_of(self, route: str) -> Millis:
        """Return the time that a call of a route takes even at a fast upstream, 0 if unknown."""
        return Millis(FASTEST_COST_SHARE * self.mean_costs.get(route, 0.0))

    def has_spare_capacity(self, endpoint: Endpoint, now: Millis) -> bool:
        """Return whether an endpoint has room for a second attempt."""
        stats = self.stats_of(endpoint)
        busy = self._load_of(stats, now) + 1.0
        spare = busy < SECOND_ATTEMPT_MAX_BUSY_SHARE * max(1, stats.slots or endpoint.slots)
        return spare and now >= max(stats.ejected_until, stats.full_until)

    def stats_of(self, endpoint: Endpoint) -> InstanceStats:
        """Return the observations of the current instance of an endpoint."""
        stats = self.stats.get(endpoint.daemon_id)
        assert endpoint.instance is not None
        if stats is None or stats.instance != endpoint.instance:
            outstanding = stats.outstanding if stats else 0
            locality = self.locality_of(endpoint)
            stats = InstanceStats(endpoint.instance, locality, outstanding)
            self.stats[endpoint.daemon_id] = stats
        return stats

    def record_call(self, route: str) -> None:
        """Record a call before its first attempt."""
        self.spill.add_call(self._size_of(route), self._largest_size())

    def record_start(self, endpoint: Endpoint, route: str) -> None:
        """Record an attempt that was sent."""
        stats = self.stats_of(endpoint)
        stats.outstanding += 1
        if stats.locality is not Locality.DATA_CENTRE:
            self.spill.take(self._size_of(route))

    def record_limit(self, daemon_id: DaemonId, limit: float | None) -> None:
        """Store the limit that an answer names; None, for one that cannot be read, is ignored."""
        stats = self.stats.get(daemon_id)
        if stats is not None and limit is not None:
            stats.limit = limit

    def limit_of(self, daemon_id: DaemonId) -> float:
        """Return the limit that the upstream next to a daemon named last, infinite without one."""
        stats = self.stats.get(daemon_id)
        return math.inf if stats is None else stats.limit

    def total_limit(self, endpoints: Iterable[Endpoint]) -> float:
        """Return the calls per second that these upstreams take, infinite if one has no limit."""
        return sum(self.stats_of(endpoint).limit for endpoint in endpoints)

    def record_result(
        self,
        daemon_id: DaemonId,
        result: RelayResult,
        elapsed: Millis,
        route: str,
        sent: int,
        now: Millis,
    ) -> None:
        """Learn from the result of an attempt that took `elapsed` ms and sent `sent` bytes."""
        stats = self.stats.get(daemon_id)
        if stats is None:
            return
        stats.outstanding = max(0, stats.outstanding - 1)
        if result.slots:
            stats.slots = result.slots
            stats.others_load = max(0.0, result.load - stats.outstanding)
            stats.load_reported_at = now
        is_refused = result.reason in OVERLOAD_REASONS
        self.refusals.record(route, stats.locality, is_refused, now)
        if result.reason in UNREACHABLE_REASONS:
            stats.ejected_until = Millis(now + LOWEST_COST_EJECTION_TIME)
        elif is_refused:
            stats.full_until = Millis(now + REFUSAL_PAUSE)
        failed = result.outcome is Outcome.UNKNOWN or (
            result.response is not None and result.response.status >= SERVER_ERROR
        )
        if result.reason is Reason.CANCELLED:
            return
        self._learn_failure(stats, failed, now)
        if result.outcome is Outcome.RAN and not failed:
            self._learn_mean_time(elapsed, route)
        if result.cost > 0:
            self._learn_slowness(stats, result.cost, route)
        if result.response is not None:
            if stats.locality is not Locality.DATA_CENTRE:
                self.spill.give_back(self._size_of(route), self._largest_size())
            size = (sent + len(result.response.body)) / KIB
            mean_size = self.mean_sizes.get(route, size)
            self.mean_sizes[route] = mean_size + SIZE_SAMPLE_WEIGHT * (size - mean_size)

    def _learn_failure(self, stats: InstanceStats, failed: bool, now: Millis) -> None:
        decayed = self._failure_share_of(stats, now)
        stats.failure_share = decayed + LOWEST_COST_FAILURE_WEIGHT * (failed - decayed)
        stats.failures_updated_at = now

    def _learn_mean_time(self, elapsed: Millis, route: str) -> None:
        mean = self.mean_times.get(route, elapsed)
        self.mean_times[route] = mean + MEAN_SAMPLE_WEIGHT * (
            min(elapsed, MAX_OUTLIER_FACTOR * mean) - mean
        )

    def _learn_slowness(self, stats: InstanceStats, cost: Millis, route: str) -> None:
        """Compare the cost that the daemon next to the upstream measured with the mean of all."""
        mean = self.mean_costs.get(route, cost)
        self.mean_costs[route] = mean + MEAN_SAMPLE_WEIGHT * (cost - mean)
        ratio = min(MAX_SLOWNESS, max(MIN_SLOWNESS, cost / max(1.0, mean)))
        stats.slowness += SLOWNESS_SAMPLE_WEIGHT * (ratio - stats.slowness)

    def _load_of(self, stats: InstanceStats, now: Millis) -> float:
        """Return the expected number of calls that run at an upstream or wait for it."""
        age = now - stats.load_reported_at
        return stats.outstanding + stats.others_load * math.exp2(-age / REPORTED_LOAD_HALF_LIFE)

    def _slots_of(self, endpoint: Endpoint, stats: InstanceStats, now: Millis) -> float:
        """Return the slots, fewer while the upstream warms up.

        An endpoint says once how much longer that takes; the time runs from the first choice.
        """
        if stats.cold_until is None:
            stats.cold_until = Millis(now + endpoint.cold)
        slots = max(1.0, stats.slots or endpoint.slots)
        return slots if now >= stats.cold_until else max(1.0, slots / COLD_SLOTS_DIVISOR)

    def _failure_share_of(self, stats: InstanceStats, now: Millis) -> float:
        age = now - stats.failures_updated_at
        return stats.failure_share * math.exp2(-age / LOWEST_COST_FAILURE_HALF_LIFE)

    def _is_available(self, stats: InstanceStats, now: Millis) -> bool:
        failing = self._failure_share_of(stats, now) > MAX_FAILURE_SHARE
        return now >= stats.ejected_until and not failing

    def _size_of(self, route: str) -> float:
        """Return the mean size of the request and the response of a route in KiB."""
        return self.mean_sizes.get(route, 1.0)

    def _largest_size(self) -> float:
        return max(self.mean_sizes.values(), default=1.0)

    def locality_of(self, endpoint: Endpoint) -> Locality:
        """Return the distance of an endpoint."""
        if endpoint.data_centre == self.data_centre:
            return Locality.DATA_CENTRE
        return Locality.REGION if endpoint.region == self.region else Locality.REMOTE
