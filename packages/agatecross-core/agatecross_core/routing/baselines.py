"""Simple balancers that the adaptive one is compared with."""

import random

from ..ids import DaemonId, Millis, ServiceName
from ..members.view import FleetView
from .candidates import build_candidates, prefer_untried
from .health import keep_healthy
from .model import Candidate, ChoiceRequest, DaemonLocation
from .observations import ObservationTable
from .router import AttemptEnded


class RoundRobinBalancer:
    """Chooses the ready upstreams of a service in turn."""

    def __init__(self, here: DaemonLocation, rng: random.Random) -> None:
        self.here = here
        self.rng = rng
        self.view = FleetView()
        self.observations = ObservationTable()
        self.turns: dict[ServiceName, int] = {}

    def apply_view(self, view: FleetView) -> None:
        """Apply a new view of the fleet."""
        self.view = view
        self.observations.retain(set(view.members))

    def choose(self, request: ChoiceRequest, now: Millis) -> Candidate | None:
        """Return the next ready upstream in the order of the ids, or None."""
        rows = self.ready(request, now)
        if not rows:
            return None
        # A random first turn keeps daemons that start together from choosing in the same order.
        turn = self.turns.get(request.service, self.rng.randrange(len(rows)))
        self.turns[request.service] = turn + 1
        return sorted(rows, key=lambda candidate: candidate.member.daemon_id)[turn % len(rows)]

    def ready(self, request: ChoiceRequest, now: Millis) -> list[Candidate]:
        """Return the ready upstreams; those of earlier attempts only if there are no others."""
        members = self.view.by_service.get(request.service, ())
        rows = keep_healthy(build_candidates(request, members, self.observations, self.here, now))
        return list(prefer_untried(request, rows))

    def record_start(self, daemon_id: DaemonId, now: Millis) -> None:
        """Record an attempt that was sent."""
        self.observations.record_start(daemon_id, now)

    def record_end(self, attempt: AttemptEnded, now: Millis) -> None:
        """Record an attempt that ended."""
        self.observations.record_end(attempt.daemon_id, Millis(now - attempt.elapsed))


class TwoRandomBalancer(RoundRobinBalancer):
    """Chooses of two random ready upstreams the one with fewer calls of this daemon."""

    def choose(self, request: ChoiceRequest, now: Millis) -> Candidate | None:
        """Return the less busy of two random ready upstreams, or None."""
        rows = self.ready(request, now)
        if not rows:
            return None
        return min(
            self.rng.sample(rows, min(2, len(rows))), key=lambda candidate: candidate.outstanding
        )
