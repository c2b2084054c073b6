"""Choice of an upstream by load, observed speed and distance."""

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from ..ids import ZERO_MS, DaemonId, DataCentreName, InstanceId, Millis, RegionName
from ..members.directory import Endpoint
from ..relay.model import RelayResult
from ..states import Outcome, Reason

# A reported load loses half of its weight in this time: calls last some tens of milliseconds.
REPORTED_LOAD_HALF_LIFE = Millis(250)
# Extra share of busy slots that a nearer upstream may have before a farther one is chosen: a part
# for the latency, and a part per KiB of a call, because traffic on these links is paid for. On the
# more expensive of the current links, 6 KiB between regions cost as much as a served call is worth.
REGION_PENALTY = 0.2
REGION_PENALTY_PER_KIB = 0.06
REMOTE_PENALTY = 0.5
REMOTE_PENALTY_PER_KIB = 0.35
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
LOWEST_COST_EJECTION_TIME = Millis(400)
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
    """

    instance: InstanceId
    outstanding: int = 0
    others_load: float = 0.0
    load_reported_at: Millis = ZERO_MS
    slots: int = 0
    slowness: float = 1.0
    failure_share: float = 0.0
    failures_updated_at: Millis = ZERO_MS
    ejected_until: Millis = ZERO_MS
    limit: float = math.inf


class LowestCostBalancer:
    """Chooses endpoints for attempts and learns from their results."""

    def __init__(self, region: RegionName, data_centre: DataCentreName, rng: random.Random) -> None:
        """Start without observations."""
        self.region = region
        self.data_centre = data_centre
        self.rng = rng
        self.stats: dict[DaemonId, InstanceStats] = {}
        self.mean_times: dict[str, float] = {}
        self.mean_costs: dict[str, float] = {}
        self.mean_sizes: dict[str, float] = {}

    def choose(
        self, endpoints: Iterable[Endpoint], tried: Collection[DaemonId], route: str, now: Millis
    ) -> Endpoint | None:
        """Return the endpoint with the lowest cost that was not tried, or None."""
        size = self.mean_sizes.get(route, 1.0)
        best: Endpoint | None = None
        best_cost = math.inf
        for endpoint in endpoints:
            if endpoint.daemon_id in tried:
                continue
            cost = self.cost(endpoint, now) + self._distance_penalty(endpoint, size)
            if cost < best_cost:
                best, best_cost = endpoint, cost
        return best

    def cost(self, endpoint: Endpoint, now: Millis) -> float:
        """Return the share of busy slots, scaled by slowness and failures; high while ejected."""
        stats = self.stats_of(endpoint)
        slots = max(1.0, stats.slots or endpoint.slots)
        if endpoint.cold > 0:
            slots = max(1.0, slots / COLD_SLOTS_DIVISOR)
        busy = (stats.outstanding + self._others_load(stats, now) + 1.0) / slots
        failure_share = stats.failure_share * math.exp2(
            -(now - stats.failures_updated_at) / LOWEST_COST_FAILURE_HALF_LIFE
        )
        cost = (busy + 0.1) * stats.slowness * (1 + LOWEST_COST_FAILURE_COST * failure_share)
        if now < stats.ejected_until:
            cost += 100.0
        return cost + self.rng.random() * 0.02

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
        busy = stats.outstanding + self._others_load(stats, now) + 1.0
        spare = busy < SECOND_ATTEMPT_MAX_BUSY_SHARE * max(1, stats.slots or endpoint.slots)
        return spare and now >= stats.ejected_until

    def stats_of(self, endpoint: Endpoint) -> InstanceStats:
        """Return the observations of the current instance of an endpoint."""
        stats = self.stats.get(endpoint.daemon_id)
        assert endpoint.instance is not None
        if stats is None or stats.instance != endpoint.instance:
            outstanding = stats.outstanding if stats else 0
            stats = InstanceStats(endpoint.instance, outstanding)
            self.stats[endpoint.daemon_id] = stats
        return stats

    def record_start(self, endpoint: Endpoint) -> None:
        """Record an attempt that was sent."""
        self.stats_of(endpoint).outstanding += 1

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
        if result.reason in UNREACHABLE_REASONS:
            stats.ejected_until = Millis(now + LOWEST_COST_EJECTION_TIME)
        elif result.reason in OVERLOAD_REASONS:
            stats.ejected_until = Millis(now + LOWEST_COST_EJECTION_TIME / 8)
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
            size = (sent + len(result.response.body)) / KIB
            mean_size = self.mean_sizes.get(route, size)
            self.mean_sizes[route] = mean_size + SIZE_SAMPLE_WEIGHT * (size - mean_size)

    def _learn_failure(self, stats: InstanceStats, failed: bool, now: Millis) -> None:
        decayed = stats.failure_share * math.exp2(
            -(now - stats.failures_updated_at) / LOWEST_COST_FAILURE_HALF_LIFE
        )
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

    def _others_load(self, stats: InstanceStats, now: Millis) -> float:
        return stats.others_load * math.exp2(
            -(now - stats.load_reported_at) / REPORTED_LOAD_HALF_LIFE
        )

    def _distance_penalty(self, endpoint: Endpoint, size: float) -> float:
        if endpoint.data_centre == self.data_centre:
            return 0.0
        if endpoint.region == self.region:
            return REGION_PENALTY + REGION_PENALTY_PER_KIB * size
        return REMOTE_PENALTY + REMOTE_PENALTY_PER_KIB * size
