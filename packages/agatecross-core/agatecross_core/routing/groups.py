"""Finds upstreams that slow down together and keeps calls away from them while they do.

Time is divided into buckets. An upstream is slow in a bucket when at least half of its observations
there were slow compared with its own baseline. Two upstreams are linked when their slow buckets
coincide far more often than by chance; linked upstreams form a group.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from ..ids import DaemonId, Millis, ServiceName
from .model import Candidate, ChoiceRequest, Purpose
from .observations import ObservationTable
from .prefer import prefer
from .tuning import (
    BUCKET_WIDTH,
    FLEET_PEAK_SLOW_SHARE,
    GROUP_LINK_LIFETIME,
    GROUP_MIN_COMMON_PERIODS,
    GROUP_MIN_CORRELATION,
    GROUP_MIN_Z_SCORE,
    GROUP_SEARCH_PERIOD,
    HISTORY_BUCKETS,
    MAX_CORRELATED_UPSTREAMS,
    MAX_TRACKED_UPSTREAMS,
    PEAK_MIN_OBSERVATIONS,
    SERVICE_PEAK_SLOW_SHARE,
)

Pair = tuple[DaemonId, DaemonId]
# A slow period covers several adjacent buckets, so only about a third of them are independent.
BUCKETS_PER_SLOW_PERIOD = 3
MAX_LINKS = MAX_CORRELATED_UPSTREAMS * (MAX_CORRELATED_UPSTREAMS - 1) // 2


@dataclass(slots=True)
class BucketHistory:
    """Observations of one upstream by bucket.

    `observed_buckets` and `slow_buckets` are bit sets of the buckets with observations and of the
    slow buckets, counted from the first bucket of the detector; `calls` and `slow_calls` belong to
    the current `bucket`.
    """

    service: ServiceName
    bucket: int
    slow_calls: int = 0
    calls: int = 0
    observed_buckets: int = 0
    slow_buckets: int = 0


@dataclass(slots=True)
class BucketCounts:
    """Number of observed and of slow upstreams in each bucket."""

    observed_counts: dict[int, int] = field(default_factory=dict)
    slow_counts: dict[int, int] = field(default_factory=dict)

    def add(self, bucket: int, slow: bool) -> None:
        """Count one upstream in a bucket."""
        self.observed_counts[bucket] = self.observed_counts.get(bucket, 0) + 1
        if slow:
            self.slow_counts[bucket] = self.slow_counts.get(bucket, 0) + 1

    def drop_before(self, before: int) -> None:
        """Drop the buckets before this one."""
        self.observed_counts = {b: n for b, n in self.observed_counts.items() if b >= before}
        self.slow_counts = {b: n for b, n in self.slow_counts.items() if b >= before}

    def peak_bits(self, first_bucket: int, share: float) -> int:
        """Return the bit set of the buckets in which more than this share of upstreams is slow.

        Sums over five buckets, because a daemon does not observe every upstream in each bucket.
        """
        bits = 0
        for bucket in {b + d for b in self.slow_counts for d in (-2, -1, 0, 1, 2)}:
            near = range(bucket - 2, bucket + 3)
            seen = sum(self.observed_counts.get(b, 0) for b in near)
            slow = sum(self.slow_counts.get(b, 0) for b in near)
            if bucket >= first_bucket and seen >= PEAK_MIN_OBSERVATIONS and slow > share * seen:
                bits |= 1 << (bucket - first_bucket)
        return bits


class GroupDetector:
    """Detects groups of upstreams that slow down together, from a bounded recent history."""

    def __init__(self) -> None:
        """Start without observations."""
        self.first_bucket = 0
        self.histories: dict[DaemonId, BucketHistory] = {}
        self.fleet = BucketCounts()
        self.services: dict[ServiceName, BucketCounts] = {}
        self.links: dict[Pair, Millis] = {}
        self.groups: tuple[frozenset[DaemonId], ...] = ()
        self.group_of: dict[DaemonId, frozenset[DaemonId]] = {}
        self.next_search = Millis(0)

    def observe(self, daemon_id: DaemonId, service: ServiceName, slow: bool, now: Millis) -> None:
        """Record one observation of an upstream."""
        bucket = int(now // BUCKET_WIDTH)
        if not self.histories:
            self.first_bucket = bucket
        history = self.histories.get(daemon_id)
        if history is None or history.service != service:
            self._evict_least_recent()
            history = self.histories[daemon_id] = BucketHistory(service, bucket)
        if history.bucket != bucket:
            self._close_bucket(history)
            history.bucket = bucket
        history.calls += 1
        history.slow_calls += slow
        if now >= self.next_search:
            self.next_search = Millis(now + GROUP_SEARCH_PERIOD)
            self._rebuild_groups(bucket, now)

    def _evict_least_recent(self) -> None:
        if len(self.histories) >= MAX_TRACKED_UPSTREAMS:
            del self.histories[min(self.histories, key=lambda i: self.histories[i].bucket)]

    def _close_bucket(self, history: BucketHistory) -> None:
        position = history.bucket - self.first_bucket
        if history.calls and position >= 0:
            slow = 2 * history.slow_calls >= history.calls and history.slow_calls > 0
            history.observed_buckets |= 1 << position
            history.slow_buckets |= int(slow) << position
            self.fleet.add(history.bucket, slow)
            self.services.setdefault(history.service, BucketCounts()).add(history.bucket, slow)
        history.calls = history.slow_calls = 0

    def _rebuild_groups(self, bucket: int, now: Millis) -> None:
        for history in self.histories.values():
            if history.bucket < bucket:
                self._close_bucket(history)
        self._drop_old_buckets(bucket - HISTORY_BUCKETS)
        self._update_links(now)
        self.groups = tuple(form_groups(self.links))
        self.group_of = {i: group for group in self.groups for i in group}

    def _drop_old_buckets(self, before: int) -> None:
        shift = before - self.first_bucket
        if shift <= 0:
            return
        self.first_bucket = before
        for history in self.histories.values():
            history.observed_buckets >>= shift
            history.slow_buckets >>= shift
        self.histories = {
            i: history
            for i, history in self.histories.items()
            if history.observed_buckets or history.bucket >= before
        }
        self.fleet.drop_before(before)
        for counts in self.services.values():
            counts.drop_before(before)
        self.services = {s: counts for s, counts in self.services.items() if counts.observed_counts}

    def _update_links(self, now: Millis) -> None:
        self.links = {pair: until for pair, until in self.links.items() if now < until}
        fleet_peak = self.fleet.peak_bits(self.first_bucket, FLEET_PEAK_SLOW_SHARE)
        peaks = {
            s: fleet_peak | counts.peak_bits(self.first_bucket, SERVICE_PEAK_SLOW_SHARE)
            for s, counts in self.services.items()
        }
        rows = list(self._correlation_candidates(peaks))
        for i, (one, first) in enumerate(rows):
            for other, second in rows[i + 1 :]:
                ignored = peaks.get(first.service, 0) | peaks.get(second.service, 0)
                pair = (one, other) if one < other else (other, one)
                if slowdowns_correlate(first, second, ignored):
                    self.links[pair] = Millis(now + GROUP_LINK_LIFETIME)
        if len(self.links) > MAX_LINKS:
            newest = sorted(self.links.items(), key=lambda row: row[1])[-MAX_LINKS:]
            self.links = dict(newest)

    def _correlation_candidates(
        self, peaks: Mapping[ServiceName, int]
    ) -> list[tuple[DaemonId, BucketHistory]]:
        rows = [
            (count_runs(history.slow_buckets & ~peaks.get(history.service, 0)), daemon_id, history)
            for daemon_id, history in self.histories.items()
        ]
        rows = [row for row in rows if row[0] >= GROUP_MIN_COMMON_PERIODS]
        rows.sort(key=lambda row: -row[0])
        return [(daemon_id, history) for _, daemon_id, history in rows[:MAX_CORRELATED_UPSTREAMS]]

    def prefer_outside_tried_groups(
        self, request: ChoiceRequest, rows: Iterable[Candidate]
    ) -> Iterator[Candidate]:
        """Prefer candidates outside the groups of earlier attempts; a hedge accepts no others."""
        grouped_with_tried = {i for tried in request.tried for i in self.group_of.get(tried, ())}
        if request.purpose is Purpose.HEDGE:
            return (row for row in rows if row.member.daemon_id not in grouped_with_tried)
        return prefer(rows, lambda row: row.member.daemon_id not in grouped_with_tried)

    def prefer_outside_slow_groups(
        self, rows: Iterable[Candidate], observations: ObservationTable, now: Millis
    ) -> Iterator[Candidate]:
        """Yield the candidates outside the groups that are slow now, or all if there are none."""
        slow = {
            i for group in self.groups if is_group_slow(group, observations, now) for i in group
        }
        return prefer(rows, lambda row: row.member.daemon_id not in slow)


def is_group_slow(group: frozenset[DaemonId], observations: ObservationTable, now: Millis) -> bool:
    """Return whether a member is slow and no member has ended a normal call since the evidence."""
    members = [observations.lookup(daemon_id) for daemon_id in group]
    evidence = max((row.slow_evidence_at for row in members if row.is_slow(now)), default=None)
    return evidence is not None and evidence >= max(row.last_normal_end for row in members)


def slowdowns_correlate(one: BucketHistory, other: BucketHistory, ignored: int) -> bool:
    """Return whether the slow buckets of two upstreams coincide far more often than by chance."""
    common = one.observed_buckets & other.observed_buckets & ~ignored
    total = common.bit_count()
    both = one.slow_buckets & other.slow_buckets & common
    if count_runs(both) < GROUP_MIN_COMMON_PERIODS:
        return False
    a, b = (one.slow_buckets & common).bit_count(), (other.slow_buckets & common).bit_count()
    variance_product = a * (total - a) * b * (total - b)
    if not variance_product:
        return False
    correlation = (both.bit_count() * total - a * b) / math.sqrt(variance_product)
    z_score = correlation * math.sqrt(total / BUCKETS_PER_SLOW_PERIOD)
    return correlation >= GROUP_MIN_CORRELATION and z_score >= GROUP_MIN_Z_SCORE


def count_runs(bits: int) -> int:
    """Return the number of runs of adjacent set bits."""
    return (bits & ~(bits << 1)).bit_count()


def form_groups(links: Iterable[Pair]) -> Iterator[frozenset[DaemonId]]:
    """Yield groups in which each member is linked to at least half of those before it."""
    neighbours: dict[DaemonId, set[DaemonId]] = {}
    for one, other in links:
        neighbours.setdefault(one, set()).add(other)
        neighbours.setdefault(other, set()).add(one)
    groups: list[set[DaemonId]] = []
    for daemon_id in sorted(neighbours, key=lambda i: (-len(neighbours[i]), i)):
        near = neighbours[daemon_id]
        best = max(groups, key=lambda group: len(group & near), default=None)
        if best is not None and 2 * len(best & near) >= len(best):
            best.add(daemon_id)
        else:
            groups.append({daemon_id})
    return (frozenset(group) for group in groups if len(group) > 1)
