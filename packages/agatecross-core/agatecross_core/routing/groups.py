"""Finds upstreams that slow down together and keeps calls away from them while they do.

Time is cut into buckets. An upstream is slow in a bucket when most of its observations there were
slower than its own baseline. Two upstreams are linked when their slow buckets coincide far more
often than chance; linked upstreams form a group.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from ..ids import DaemonId, Millis, ServiceName
from .load import LoadTable
from .model import Candidate, ChoiceRequest, Purpose
from .prefer import prefer
from .tuning import (
    BUCKET,
    BUCKETS,
    GROUP_CORRELATION,
    GROUP_DEVIATION,
    GROUP_LIFETIME,
    GROUP_MIN_MOMENTS,
    GROUP_PERIOD,
    MAX_CORRELATED,
    MAX_TRACKED,
    PEAK_MIN_OBSERVED,
    PEAK_SHARE,
    SERVICE_PEAK_SHARE,
)

Pair = tuple[DaemonId, DaemonId]
# A slow moment covers several adjacent buckets, so about a third of them are independent.
DEPENDENT_BUCKETS = 3
MAX_LINKS = MAX_CORRELATED * (MAX_CORRELATED - 1) // 2


@dataclass(slots=True)
class Track:
    """Observations of one upstream as bit sets of buckets, counted from the detector's first."""

    service: ServiceName
    bucket: int
    slow_calls: int = 0
    calls: int = 0
    seen: int = 0
    slow: int = 0


@dataclass(slots=True)
class Counts:
    """Observed and slow upstreams in each bucket."""

    seen: dict[int, int] = field(default_factory=dict)
    slow: dict[int, int] = field(default_factory=dict)

    def add(self, bucket: int, slow: bool) -> None:
        """Count one upstream in a bucket."""
        self.seen[bucket] = self.seen.get(bucket, 0) + 1
        if slow:
            self.slow[bucket] = self.slow.get(bucket, 0) + 1

    def forget(self, before: int) -> None:
        """Drop buckets before this one."""
        self.seen = {b: n for b, n in self.seen.items() if b >= before}
        self.slow = {b: n for b, n in self.slow.items() if b >= before}

    def peaks(self, first: int, share: float) -> int:
        """Return the bit set of buckets in which more than this share is slow.

        Sums over five buckets, because a daemon does not observe every upstream in each bucket.
        """
        bits = 0
        for bucket in {b + d for b in self.slow for d in (-2, -1, 0, 1, 2)}:
            near = range(bucket - 2, bucket + 3)
            seen = sum(self.seen.get(b, 0) for b in near)
            slow = sum(self.slow.get(b, 0) for b in near)
            if bucket >= first and seen >= PEAK_MIN_OBSERVED and slow > share * seen:
                bits |= 1 << (bucket - first)
        return bits


class GroupDetector:
    """Groups of upstreams that slow down together, from bounded recent observations."""

    def __init__(self) -> None:
        """Start without observations."""
        self.first = 0
        self.tracks: dict[DaemonId, Track] = {}
        self.fleet = Counts()
        self.services: dict[ServiceName, Counts] = {}
        self.links: dict[Pair, Millis] = {}
        self.groups: tuple[frozenset[DaemonId], ...] = ()
        self.group_of: dict[DaemonId, frozenset[DaemonId]] = {}
        self.next_search = Millis(0)

    def observed(self, daemon_id: DaemonId, service: ServiceName, slow: bool, now: Millis) -> None:
        """Count one observation of an upstream."""
        bucket = int(now // BUCKET)
        if not self.tracks:
            self.first = bucket
        track = self.tracks.get(daemon_id)
        if track is None or track.service != service:
            self._make_room()
            track = self.tracks[daemon_id] = Track(service, bucket)
        if track.bucket != bucket:
            self._close(track)
            track.bucket = bucket
        track.calls += 1
        track.slow_calls += slow
        if now >= self.next_search:
            self.next_search = Millis(now + GROUP_PERIOD)
            self._search(bucket, now)

    def _make_room(self) -> None:
        if len(self.tracks) >= MAX_TRACKED:
            del self.tracks[min(self.tracks, key=lambda i: self.tracks[i].bucket)]

    def _close(self, track: Track) -> None:
        place = track.bucket - self.first
        if track.calls and place >= 0:
            slow = 2 * track.slow_calls >= track.calls and track.slow_calls > 0
            track.seen |= 1 << place
            track.slow |= int(slow) << place
            self.fleet.add(track.bucket, slow)
            self.services.setdefault(track.service, Counts()).add(track.bucket, slow)
        track.calls = track.slow_calls = 0

    def _search(self, bucket: int, now: Millis) -> None:
        for track in self.tracks.values():
            if track.bucket < bucket:
                self._close(track)
        self._forget(bucket - BUCKETS)
        self._link(now)
        self.groups = tuple(form_groups(self.links))
        self.group_of = {i: group for group in self.groups for i in group}

    def _forget(self, before: int) -> None:
        shift = before - self.first
        if shift <= 0:
            return
        self.first = before
        for track in self.tracks.values():
            track.seen >>= shift
            track.slow >>= shift
        self.tracks = {i: t for i, t in self.tracks.items() if t.seen or t.bucket >= before}
        self.fleet.forget(before)
        for counts in self.services.values():
            counts.forget(before)
        self.services = {s: counts for s, counts in self.services.items() if counts.seen}

    def _link(self, now: Millis) -> None:
        self.links = {pair: until for pair, until in self.links.items() if now < until}
        fleet_peak = self.fleet.peaks(self.first, PEAK_SHARE)
        peaks = {
            s: fleet_peak | counts.peaks(self.first, SERVICE_PEAK_SHARE)
            for s, counts in self.services.items()
        }
        rows = list(self._eligible(peaks))
        for i, (one, first) in enumerate(rows):
            for other, second in rows[i + 1 :]:
                ignored = peaks.get(first.service, 0) | peaks.get(second.service, 0)
                pair = (one, other) if one < other else (other, one)
                if coincide(first, second, ignored):
                    self.links[pair] = Millis(now + GROUP_LIFETIME)
        if len(self.links) > MAX_LINKS:
            newest = sorted(self.links.items(), key=lambda row: row[1])[-MAX_LINKS:]
            self.links = dict(newest)

    def _eligible(self, peaks: Mapping[ServiceName, int]) -> list[tuple[DaemonId, Track]]:
        rows = [
            (moments(track.slow & ~peaks.get(track.service, 0)), daemon_id, track)
            for daemon_id, track in self.tracks.items()
        ]
        rows = [row for row in rows if row[0] >= GROUP_MIN_MOMENTS]
        rows.sort(key=lambda row: -row[0])
        return [(daemon_id, track) for _, daemon_id, track in rows[:MAX_CORRELATED]]

    def outside(self, request: ChoiceRequest, rows: Iterable[Candidate]) -> Iterator[Candidate]:
        """Yield candidates outside the groups of earlier attempts; a hedge requires one."""
        mates = {i for tried in request.tried for i in self.group_of.get(tried, ())}
        if request.purpose is Purpose.HEDGE:
            return (row for row in rows if row.member.daemon_id not in mates)
        return prefer(rows, lambda row: row.member.daemon_id not in mates)

    def not_slow(
        self, rows: Iterable[Candidate], load: LoadTable, now: Millis
    ) -> Iterator[Candidate]:
        """Yield candidates that are in no group that is slow now, or all."""
        slow = {i for group in self.groups if slow_now(group, load, now) for i in group}
        return prefer(rows, lambda row: row.member.daemon_id not in slow)


def slow_now(group: frozenset[DaemonId], load: LoadTable, now: Millis) -> bool:
    """Return whether a member is slow and no member worked normally since that was seen."""
    members = [load.of(daemon_id) for daemon_id in group]
    evidence = max((row.evidence_at for row in members if row.slow(now)), default=None)
    return evidence is not None and evidence >= max(row.normal_at for row in members)


def coincide(one: Track, other: Track, ignored: int) -> bool:
    """Return whether the slow buckets of two upstreams coincide far more often than chance."""
    common = one.seen & other.seen & ~ignored
    total = common.bit_count()
    both = one.slow & other.slow & common
    if moments(both) < GROUP_MIN_MOMENTS:
        return False
    a, b = (one.slow & common).bit_count(), (other.slow & common).bit_count()
    spread = a * (total - a) * b * (total - b)
    if not spread:
        return False
    correlation = (both.bit_count() * total - a * b) / math.sqrt(spread)
    deviation = correlation * math.sqrt(total / DEPENDENT_BUCKETS)
    return correlation >= GROUP_CORRELATION and deviation >= GROUP_DEVIATION


def moments(bits: int) -> int:
    """Return the number of runs of adjacent buckets."""
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
