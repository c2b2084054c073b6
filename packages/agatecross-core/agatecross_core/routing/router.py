"""The routing decision of one daemon: what it knows of the fleet and whom it chooses."""

import random
from dataclasses import dataclass
from typing import Protocol

from ..ids import DaemonId, Millis
from ..members.view import FleetView
from ..states import Outcome
from .choice import choose
from .load import LoadTable
from .model import Candidate, ChoiceRequest, Position


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt ended after `took` milliseconds."""

    daemon_id: DaemonId
    took: Millis
    outcome: Outcome


class Balancer(Protocol):
    """Chooses the upstream of each attempt and learns from how attempts end."""

    def view_changed(self, view: FleetView) -> None:
        """Take a new view of the fleet."""
        ...

    def choose(self, request: ChoiceRequest, now: Millis) -> Candidate | None:
        """Return the candidate for one attempt, or None when no upstream can serve it."""
        ...

    def started(self, daemon_id: DaemonId, now: Millis) -> None:
        """Count an attempt that was sent."""
        ...

    def ended(self, attempt: AttemptEnded, now: Millis) -> None:
        """Count an attempt that ended."""
        ...


class AdaptiveBalancer:
    """Prefers near upstreams and the less loaded of two."""

    def __init__(self, here: Position, rng: random.Random) -> None:
        self.here = here
        self.rng = rng
        self.view = FleetView()
        self.load = LoadTable()

    def view_changed(self, view: FleetView) -> None:
        """Take a new view of the fleet."""
        self.view = view
        self.load.retain(set(view.members))

    def choose(self, request: ChoiceRequest, now: Millis) -> Candidate | None:
        """Return the candidate for one attempt, or None when no upstream can serve it."""
        del now
        return choose(request, self.view, self.load, self.here, self.rng)

    def started(self, daemon_id: DaemonId, now: Millis) -> None:
        """Count an attempt that was sent."""
        del now
        self.load.started(daemon_id)

    def ended(self, attempt: AttemptEnded, now: Millis) -> None:
        """Count an attempt that ended."""
        del now
        self.load.finished(attempt.daemon_id, attempt.took)
