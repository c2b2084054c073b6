"""Carries out which connections of clients are closed when memory or places run short."""

import time
from collections.abc import Callable

from agatecross_core.admission.connection_budget import (
    ConnectionBudget,
    ConnectionPhase,
    HeldConnection,
    Place,
    Sheddable,
    ShedReason,
    place_limits,
)
from agatecross_core.constants import DEFAULT_DESCRIPTORS, DEFAULT_READING_BYTES
from agatecross_core.ids import Millis

ShedReport = Callable[[Place, ShedReason], None]


def _ignore_shed(place: Place, reason: ShedReason) -> None:
    """Report nothing."""


class ConnectionGuard:
    """Counts the connections of all listeners, and sheds those that the budget names."""

    def __init__(self, budget: ConnectionBudget, on_shed: ShedReport = _ignore_shed) -> None:
        """Report each connection that is refused or closed to `on_shed`."""
        self.budget = budget
        self.on_shed = on_shed

    def add(self, owner: Sheddable, place: Place, peer_name: object) -> HeldConnection:
        """Count a new connection from a socket address, and make room for it."""
        source = str(peer_name[0]) if isinstance(peer_name, tuple) and peer_name else ""
        connection = HeldConnection(owner, place, source, _now())
        self._shed(self.budget.add(connection), ShedReason.PLACES)
        return connection

    def remove(self, connection: HeldConnection) -> None:
        """Stop counting a closed connection."""
        self.budget.remove(connection)

    def update(self, connection: HeldConnection, held: int, phase: ConnectionPhase) -> None:
        """Count the bytes and the phase of a connection, which may be shed by this."""
        self._shed(self.budget.update(connection, held, phase, _now()), ShedReason.MEMORY)

    @property
    def is_short(self) -> bool:
        """Return whether no further whole request may be taken."""
        return self.budget.exhausted

    def refuses(self, place: Place) -> bool:
        """Return whether a whole request must be refused, and report it."""
        if self.budget.exhausted:
            self.on_shed(place, ShedReason.MEMORY)
        return self.budget.exhausted

    def _shed(self, victims: list[HeldConnection], reason: ShedReason) -> None:
        for victim in victims:
            self.on_shed(victim.place, reason)
            victim.closing = victim.owner.shed(reason) or victim.closing


def new_guard(
    reading_bytes: int = DEFAULT_READING_BYTES,
    descriptors: int = DEFAULT_DESCRIPTORS,
    on_shed: ShedReport = _ignore_shed,
) -> ConnectionGuard:
    """Return a guard with these limits."""
    return ConnectionGuard(ConnectionBudget(reading_bytes, place_limits(descriptors)), on_shed)


def _now() -> Millis:
    return Millis(time.monotonic() * 1000)
