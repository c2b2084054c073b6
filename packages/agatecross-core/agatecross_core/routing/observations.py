"""What this daemon observes of each peer: outstanding calls, latency and failures."""

import math
from bisect import bisect_left, bisect_right, insort
from dataclasses import dataclass, field

from ..ids import DaemonId, Millis
from .model import ReportedLoad
from .tuning import (
    ADAPTIVE_FAILURE_HALF_LIFE,
    ADAPTIVE_FAILURE_WEIGHT,
    MAX_SLOW_HOLD_TIME,
    MEDIAN_MIN_SAMPLES,
    MEDIAN_STEP_SHARE,
    RECENT_LATENCY_HALF_LIFE,
    RECENT_LATENCY_WEIGHT,
    REPORT_LIFETIME,
    SLOW_DEVIATIONS,
    SLOW_HOLD_TIME,
    SLOW_MARGIN,
    SLOW_MIN_SPREAD_SHARE,
)

MIN_LATENCY_MS = 0.01
NEVER = Millis(float("-inf"))


@dataclass(slots=True)
class MemberObservations:
    """Observations of one member; latencies are in milliseconds.

    `starts` holds the sorted start times of outstanding calls. `median_ms` follows the median in
    small steps, so that slow periods hardly move it, `deviation_ms` follows the mean distance from
    it, and `recent_ms` the last few calls. `last_normal_start` and `last_normal_end` are the start
    and the end of the last call with a normal latency; `slow_evidence_at` is the time of the last
    evidence of slowness.
    """

    starts: list[Millis] = field(default_factory=list)
    sample_count: int = 0
    median_ms: float = 0.0
    deviation_ms: float = 0.0
    recent_ms: float = 0.0
    recent_at: Millis = NEVER
    last_normal_start: Millis = NEVER
    last_normal_end: Millis = NEVER
    slow_evidence_at: Millis = NEVER
    slow_until: Millis = NEVER
    slow_hold: Millis = SLOW_HOLD_TIME
    failure_share: float = 0.0
    failure_updated_at: Millis = NEVER
    others_load: float = 0.0
    reported_at: Millis = NEVER

    @property
    def outstanding(self) -> int:
        """Return the number of calls from this daemon that have not ended."""
        return len(self.starts)

    def slow_threshold(self) -> float:
        """Return the latency above which a call is slow; infinite until the median is known."""
        if self.sample_count < MEDIAN_MIN_SAMPLES:
            return float("inf")
        spread = max(SLOW_DEVIATIONS * self.deviation_ms, SLOW_MIN_SPREAD_SHARE * self.median_ms)
        return self.median_ms + spread + SLOW_MARGIN

    def overdue_since(self, now: Millis) -> Millis | None:
        """Return the start of the newest overdue call, or None.

        A call that started before one that ended normally is a long call, not a sign of slowness.
        """
        end = bisect_left(self.starts, now - self.slow_threshold())
        newest = self.starts[end - 1] if end else NEVER
        return newest if newest > self.last_normal_start else None

    def record_overdue(self, now: Millis) -> bool:
        """Record overdue calls as evidence of slowness; return whether there are any."""
        start = self.overdue_since(now)
        if start is None:
            return False
        self._record_slowness(start, now)
        return True

    def is_slow(self, now: Millis) -> bool:
        """Return whether the upstream is considered slow."""
        return now < self.slow_until

    def expected_ms(self, now: Millis) -> float:
        """Return the expected latency, in which the most recent calls count most."""
        weight = math.exp2((self.recent_at - now) / RECENT_LATENCY_HALF_LIFE)
        expected = self.median_ms + (self.recent_ms - self.median_ms) * weight
        start = self.overdue_since(now)
        return expected if start is None else max(expected, now - start)

    def record_completion(self, elapsed: Millis, now: Millis) -> bool:
        """Record a call that ran; return whether it shows that the upstream was slow."""
        start = Millis(now - elapsed)
        late = elapsed > self.slow_threshold()
        slow = late and start >= self.last_normal_start
        self._learn_latency(elapsed, now)
        if slow:
            self._record_slowness(start, now)
        elif not late and start >= self.last_normal_start:
            self.last_normal_start, self.last_normal_end = start, now
            if start >= self.slow_evidence_at:
                self.slow_until, self.slow_hold = NEVER, SLOW_HOLD_TIME
        self._learn_failure(0.0, now)
        return slow

    def record_failure(self, now: Millis) -> None:
        """Record a failure or refusal; its duration says nothing about the upstream's speed."""
        self._learn_failure(1.0, now)

    def failures(self, now: Millis) -> float:
        """Return the recent share of failures, from 0 to 1."""
        return self.failure_share * math.exp2(
            (self.failure_updated_at - now) / ADAPTIVE_FAILURE_HALF_LIFE
        )

    def record_report(self, load: ReportedLoad, now: Millis) -> None:
        """Keep the part of a reported load that does not come from this daemon."""
        self.others_load = max(0.0, load.running + load.queued - self.outstanding)
        self.reported_at = now

    def load(self, now: Millis) -> float:
        """Return the outstanding calls of this daemon and, while the report is fresh, of others."""
        fresh = max(0.0, 1.0 - (now - self.reported_at) / REPORT_LIFETIME)
        return self.outstanding + self.others_load * fresh

    def _learn_latency(self, elapsed: Millis, now: Millis) -> None:
        self.sample_count += 1
        if self.sample_count == 1:
            self.median_ms = self.recent_ms = max(elapsed, MIN_LATENCY_MS)
        step = max(MEDIAN_STEP_SHARE, 1.0 / (self.sample_count + 1))
        distance = min(abs(elapsed - self.median_ms), self.median_ms)
        self.deviation_ms += step * (distance - self.deviation_ms)
        self.median_ms += max(-step, min(step, elapsed / self.median_ms - 1.0)) * self.median_ms
        weight = (1.0 - RECENT_LATENCY_WEIGHT) * math.exp2(
            (self.recent_at - now) / RECENT_LATENCY_HALF_LIFE
        )
        self.recent_ms = elapsed + (self.recent_ms - elapsed) * weight
        self.recent_at = now

    def _record_slowness(self, start: Millis, now: Millis) -> None:
        if start < self.slow_evidence_at:
            return
        if start > self.slow_until > NEVER:
            self.slow_hold = Millis(min(MAX_SLOW_HOLD_TIME, self.slow_hold * 2))
        if not self.is_slow(now):
            self.slow_until = Millis(now + self.slow_hold)
        self.slow_evidence_at = now

    def _learn_failure(self, value: float, now: Millis) -> None:
        before = self.failures(now)
        self.failure_share = before + ADAPTIVE_FAILURE_WEIGHT * (value - before)
        self.failure_updated_at = now


class ObservationTable:
    """Table of the observations of each member."""

    def __init__(self) -> None:
        """Start without observations."""
        self.rows: dict[DaemonId, MemberObservations] = {}

    def lookup(self, daemon_id: DaemonId) -> MemberObservations:
        """Return the observations of a member without storing an empty entry."""
        return self.rows.get(daemon_id) or MemberObservations()

    def get_or_create(self, daemon_id: DaemonId) -> MemberObservations:
        """Return the observations of a member, which are stored from now on."""
        return self.rows.setdefault(daemon_id, MemberObservations())

    def record_start(self, daemon_id: DaemonId, now: Millis) -> None:
        """Record a call that was sent."""
        insort(self.get_or_create(daemon_id).starts, now)

    def record_end(self, daemon_id: DaemonId, start: Millis) -> None:
        """Record the end of the call that started at `start`, up to rounding."""
        starts = self.get_or_create(daemon_id).starts
        if not starts:
            return
        after = bisect_right(starts, start)
        near = [i for i in (after - 1, after) if 0 <= i < len(starts)]
        del starts[min(near, key=lambda i: abs(starts[i] - start))]

    def retain(self, daemon_ids: set[DaemonId]) -> None:
        """Forget members that are gone and have no calls outstanding."""
        gone = [i for i, row in self.rows.items() if i not in daemon_ids and not row.outstanding]
        for daemon_id in gone:
            del self.rows[daemon_id]
