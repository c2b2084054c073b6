"""Bounds the members that one choice considers, so that its cost does not grow with the fleet."""

import random
from collections.abc import Mapping

from ..ids import ServiceName
from ..members.records import Member
from ..members.view import FleetView
from ..states import Locality
from .candidates import locality_of
from .model import DaemonLocation
from .tuning import SAMPLE_PER_LOCALITY

Pools = tuple[tuple[Member, ...], ...]


class MemberSampler:
    """Draws random members of a service from each locality."""

    def __init__(self, here: DaemonLocation, rng: random.Random) -> None:
        """Start without members."""
        self.here = here
        self.rng = rng
        self.pools: Mapping[ServiceName, Pools] = {}

    def apply_view(self, view: FleetView) -> None:
        """Group the members of each service by their locality."""
        self.pools = {service: self._pools(rows) for service, rows in view.by_service.items()}

    def draw(self, service: ServiceName) -> tuple[Member, ...]:
        """Return up to `SAMPLE_PER_LOCALITY` random members of each locality."""
        return tuple(
            member for pool in self.pools.get(service, ()) for member in self._draw_from(pool)
        )

    def _draw_from(self, pool: tuple[Member, ...]) -> tuple[Member, ...]:
        if len(pool) <= SAMPLE_PER_LOCALITY:
            return pool
        return tuple(self.rng.sample(pool, SAMPLE_PER_LOCALITY))

    def _pools(self, members: tuple[Member, ...]) -> Pools:
        located = [(locality_of(member, self.here), member) for member in members]
        return tuple(
            tuple(member for member_locality, member in located if member_locality is locality)
            for locality in Locality
        )
