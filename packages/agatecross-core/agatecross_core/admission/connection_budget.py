"""Memory and places of clients' connections: says which connections are closed when they run short.

Nothing is closed while both suffice, so that clients inside the limits never notice it.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import Final, Protocol

from ..ids import Millis

# What one connection takes before it sends anything: socket, transport, parser and buffers.
CONNECTION_BYTES: Final = 4_096
# Objects of one header field beside its text: two byte strings, a tuple and its place in a list.
FIELD_BYTES: Final = 144
# Memory is freed down to this share, so that the connections are not searched for each read.
FREED_SHARE: Final = 0.875
# So many places are freed at once, so that a crowd that connects causes few searches.
FREED_PLACES: Final = 4
# Up to this share of the places, connections without a request are spared before slow requests:
# those that have just come would otherwise be closed before their first byte is read.
NEW_SHARE: Final = 0.5
# A connection counts as at least this old, so that size decides among new ones.
MIN_AGE: Final = Millis(100)


class Place(Enum):
    """The address of the daemon to which clients connect."""

    CALLERS = "callers"
    PEERS = "peers"
    READY = "ready"
    HEARTBEATS = "heartbeats"
    METRICS = "metrics"
    ADMIN = "admin"
    CONTROL = "control"


# Parts of the descriptors; the rest is for dialled links, upstreams, the store and files. No daemon
# has all of these addresses.
PLACE_SHARES: Final[Mapping[Place, float]] = {
    Place.CALLERS: 3 / 8,
    Place.PEERS: 1 / 4,
    Place.READY: 1 / 32,
    Place.HEARTBEATS: 1 / 32,
    Place.METRICS: 1 / 32,
    Place.ADMIN: 1 / 32,
    Place.CONTROL: 1 / 8,
}


class ConnectionPhase(Enum):
    """What a connection does.

    `SILENT` has had no request yet, `READING` has an incomplete one, `IDLE` is between requests,
    `UNREAD` does not take its responses, `SENDING` has taken a part of a response and is closed for
    memory only, `SERVING` has whole requests and is never closed.
    """

    SILENT = "silent"
    READING = "reading"
    IDLE = "idle"
    UNREAD = "unread"
    SENDING = "sending"
    SERVING = "serving"


class ShedReason(Enum):
    """What ran short."""

    MEMORY = "memory"
    PLACES = "places"


# Closing a connection costs an ordinary client less the earlier its phase is in this order.
PLACE_ORDER: Final = (
    ConnectionPhase.SILENT,
    ConnectionPhase.READING,
    ConnectionPhase.IDLE,
    ConnectionPhase.UNREAD,
)
PLACE_ORDER_FEW_NEW: Final = (
    ConnectionPhase.READING,
    ConnectionPhase.SILENT,
    ConnectionPhase.IDLE,
    ConnectionPhase.UNREAD,
)
# Phases in which a connection may hold much that is no whole request.
MEMORY_PHASES: Final = frozenset(
    (ConnectionPhase.READING, ConnectionPhase.UNREAD, ConnectionPhase.SENDING)
)


class Sheddable(Protocol):
    """A connection that can be refused or closed."""

    def shed(self, reason: ShedReason) -> bool:
        """Refuse the incomplete request truly, or close the connection and return True."""
        ...


@dataclass(slots=True, eq=False)
class HeldConnection:
    """One connection: its bytes, and since when, in milliseconds, it has been in its phase.

    `shed` is set once it was chosen, and `closing` once that has closed it.
    """

    owner: Sheddable
    place: Place
    source: str
    since: Millis
    phase: ConnectionPhase = ConnectionPhase.SILENT
    held: int = CONNECTION_BYTES
    shed: bool = False
    closing: bool = False


@dataclass(slots=True)
class ConnectionBudget:
    """Counts what the connections hold, in bytes that objects take, and their places."""

    max_bytes: int
    places: Mapping[Place, int]
    used: int = 0
    rows: dict[Place, set[HeldConnection]] = field(default_factory=dict)

    def add(self, connection: HeldConnection) -> list[HeldConnection]:
        """Count a new connection; return those to close for it, or itself if none may be closed.

        Other daemons are not turned away for daemons: their links are known to be in use.
        """
        rows = self.rows.setdefault(connection.place, set())
        victims: list[HeldConnection] = []
        places = self.places[connection.place]
        # The places of connections that are closing are free some turns of the loop later; several
        # new ones in one turn must not close more for them.
        if len(rows) >= places and sum(not row.closing for row in rows) >= places:
            victims = self._choose_for_places(rows, places)
            if not victims and connection.place is not Place.PEERS:
                victims = _mark([connection])
        rows.add(connection)
        self.used += connection.held
        return victims

    def remove(self, connection: HeldConnection) -> None:
        """Stop counting a connection that is closed."""
        self.rows.get(connection.place, set()).discard(connection)
        self.used -= connection.held
        connection.held = 0

    def update(
        self, connection: HeldConnection, held: int, phase: ConnectionPhase, now: Millis
    ) -> list[HeldConnection]:
        """Count what a connection holds now; return those to close, which may include it."""
        if connection not in self.rows.get(connection.place, ()):
            return []
        held += CONNECTION_BYTES
        self.used += held - connection.held
        connection.held = held
        if phase is not connection.phase:
            connection.phase, connection.since = phase, now
        return self._choose_for_memory(now) if self.used > self.max_bytes else []

    @property
    def exhausted(self) -> bool:
        """Return whether no further whole request may be taken."""
        return self.used > self.max_bytes

    def _choose_for_places(
        self, rows: Iterable[HeldConnection], places: int
    ) -> list[HeldConnection]:
        """Return the oldest of the first phase in which there are any."""
        silent = sum(row.phase is ConnectionPhase.SILENT for row in rows)
        for phase in PLACE_ORDER if silent > places * NEW_SHARE else PLACE_ORDER_FEW_NEW:
            found = [row for row in rows if row.phase is phase and _may_close(row)]
            if found:
                found.sort(key=lambda row: row.since)
                return _mark(found[: FREED_PLACES if phase is ConnectionPhase.SILENT else 1])
        return []

    def _choose_for_memory(self, now: Millis) -> list[HeldConnection]:
        """Return the largest and oldest, of the source that holds most if that is over half."""
        found = [
            row
            for rows in self.rows.values()
            for row in rows
            if row.phase in MEMORY_PHASES and not row.shed
        ]
        by_source: dict[str, int] = {}
        for row in found:
            by_source[row.source] = by_source.get(row.source, 0) + row.held
        large = {source for source, held in by_source.items() if 2 * held > self.used}
        found.sort(
            key=lambda row: (row.source in large, row.held * max(MIN_AGE, now - row.since)),
            reverse=True,
        )
        victims = []
        left = self.used
        for row in found:
            if left <= self.max_bytes * FREED_SHARE:
                break
            left -= row.held
            victims.append(row)
        return _mark(victims)


def _may_close(row: HeldConnection) -> bool:
    """Return whether a connection may be closed; one that was refused is silent until it ends."""
    return not row.closing and (not row.shed or row.phase is ConnectionPhase.SILENT)


def _mark(victims: list[HeldConnection]) -> list[HeldConnection]:
    for row in victims:
        row.shed = True
    return victims


def place_limits(descriptors: int) -> Mapping[Place, int]:
    """Return how many connections each address may have, given the descriptors of the process."""
    return {place: max(1, int(descriptors * share)) for place, share in PLACE_SHARES.items()}
