"""Preference filter: gives upstreams that just became ready a growing share of the calls."""

import random
from collections.abc import Iterable, Iterator

from ..ids import DaemonId, Incarnation, Millis
from ..members.view import FleetView
from ..states import UpstreamState
from .model import Candidate
from .prefer import prefer
from .tuning import RAMP_INITIAL_SHARE, RAMP_TIME


class Ramp:
    """Tracks when each upstream became ready, as seen by this daemon."""

    def __init__(self, rng: random.Random) -> None:
        """Start without upstreams; those in the first non-empty view are assumed to be warm."""
        self.rng = rng
        self.ready: dict[DaemonId, Incarnation] = {}
        self.newly_ready: set[DaemonId] = set()
        self.ready_since: dict[DaemonId, Millis] = {}

    def apply_view(self, view: FleetView) -> None:
        """Record which upstreams became ready, including by a restart of their daemon."""
        ready = {
            m.daemon_id: m.incarnation
            for m in view.members.values()
            if m.upstream is not None and m.upstream.state is UpstreamState.READY
        }
        if self.ready:
            self.newly_ready |= {i for i, number in ready.items() if self.ready.get(i) != number}
        self.ready = ready
        self.newly_ready &= ready.keys()
        self.ready_since = {i: at for i, at in self.ready_since.items() if i in ready}

    def limit_newly_ready(
        self, candidates: Iterable[Candidate], now: Millis
    ) -> Iterator[Candidate]:
        """Yield a newly ready candidate with a probability that grows to 1 during the ramp."""
        for daemon_id in self.newly_ready:
            self.ready_since[daemon_id] = now
        self.newly_ready.clear()
        return prefer(candidates, lambda candidate: self._accepts(candidate.member.daemon_id, now))

    def _accepts(self, daemon_id: DaemonId, now: Millis) -> bool:
        ready_since = self.ready_since.get(daemon_id)
        if ready_since is None:
            return True
        share = max(RAMP_INITIAL_SHARE, (now - ready_since) / RAMP_TIME)
        if share >= 1.0:
            del self.ready_since[daemon_id]
            return True
        return self.rng.random() < share
