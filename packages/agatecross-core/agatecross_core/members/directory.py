"""Descriptions of all daemons and of the upstreams next to them."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace

from ..ids import (
    ZERO_MS,
    Address,
    DaemonId,
    DataCentreName,
    Incarnation,
    InstanceId,
    Millis,
    RegionName,
    ServiceName,
)
from ..states import UpstreamState


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One daemon and the upstream next to it.

    `sequence` grows with each change within an incarnation. `instance` is None while the upstream
    is unknown; `born` is its start time in Unix milliseconds; `cold` is its remaining warm-up time.
    `reaches_store` tells whether the daemon recently reached the platform's store; `store_latency`
    is the store's shortest response time in whole milliseconds, or 0 while it has not answered.
    `link_rate` is the rate of the daemon's own link in Mbit/s, or 0 if it is unknown.
    Durations are encoded in whole milliseconds and must be whole here too, so that a daemon and its
    peers hold the same description of it.
    """

    daemon_id: DaemonId
    incarnation: Incarnation
    sequence: int
    address: Address
    region: RegionName
    data_centre: DataCentreName
    service: ServiceName
    instance: InstanceId | None = None
    born: int = 0
    state: UpstreamState = UpstreamState.STARTING
    slots: int = 0
    cold: Millis = ZERO_MS
    leaving: bool = False
    reaches_store: bool = True
    store_latency: Millis = ZERO_MS
    link_rate: int = 0

    @property
    def order(self) -> tuple[int, int]:
        """Return the sort key of the descriptions of one daemon; the highest is the newest."""
        return (self.incarnation, self.sequence)

    @property
    def ready(self) -> bool:
        """Return whether the upstream takes new calls."""
        return self.instance is not None and self.state is UpstreamState.READY and not self.leaving


class Directory:
    """Holds the newest description of each daemon, and of the ready upstreams by service."""

    def __init__(self, me: Endpoint) -> None:
        """Start with the description of this daemon only."""
        self.me = me
        self.rows: dict[DaemonId, Endpoint] = {me.daemon_id: me}
        # The other daemons by address. Two may have the same one, if the later one moved there.
        self.by_address: dict[Address, set[DaemonId]] = {}
        self.ready_rows: dict[ServiceName, tuple[Endpoint, ...]] | None = None

    @property
    def by_service(self) -> Mapping[ServiceName, tuple[Endpoint, ...]]:
        """Return the ready upstreams by service."""
        if self.ready_rows is None:
            table: dict[ServiceName, list[Endpoint]] = {}
            for row in self.rows.values():
                if row.ready:
                    table.setdefault(row.service, []).append(row)
            self.ready_rows = {service: tuple(rows) for service, rows in table.items()}
        return self.ready_rows

    def merge(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Store the descriptions that are newer than the known ones, and return them.

        A description of this daemon with a higher incarnation, as after a restart with a clock that
        was set back, makes it take an incarnation above that one.
        """
        newer = [row for row in endpoints if self._accepts(row)]
        for row in newer:
            self._remove_replaced(row)
            self._store(row)
        return newer

    def update(self, **changes: object) -> Endpoint:
        """Change fields of this daemon's own description and return the new one."""
        self.me = replace(self.me, sequence=self.me.sequence + 1, **changes)  # type: ignore[arg-type]
        self.rows[self.me.daemon_id] = self.me
        self.ready_rows = None
        return self.me

    def remove(self, daemon_id: DaemonId) -> None:
        """Remove the description of a daemon, if it is known."""
        row = self.rows.pop(daemon_id, None)
        if row is not None:
            self._forget_address(row)
            self.ready_rows = None

    def others(self) -> Iterator[Endpoint]:
        """Return an iterator over the descriptions of the other daemons."""
        return (row for row in self.rows.values() if row.daemon_id != self.me.daemon_id)

    def _accepts(self, row: Endpoint) -> bool:
        if row.daemon_id == self.me.daemon_id:
            if row.incarnation > self.me.incarnation:
                self.update(incarnation=Incarnation(row.incarnation + 1))
            return False
        known = self.rows.get(row.daemon_id)
        if known is not None:
            return row.order > known.order
        return all(other.incarnation < row.incarnation for other in self._rows_at(row.address))

    def _store(self, row: Endpoint) -> None:
        known = self.rows.get(row.daemon_id)
        if known is not None:
            self._forget_address(known)
        self.rows[row.daemon_id] = row
        self.by_address.setdefault(row.address, set()).add(row.daemon_id)
        self.ready_rows = None

    def _forget_address(self, row: Endpoint) -> None:
        daemon_ids = self.by_address[row.address]
        daemon_ids.discard(row.daemon_id)
        if not daemon_ids:
            del self.by_address[row.address]

    def _rows_at(self, address: Address) -> list[Endpoint]:
        return [self.rows[daemon_id] for daemon_id in self.by_address.get(address, ())]

    def _remove_replaced(self, row: Endpoint) -> None:
        # A daemon that takes over an address replaces the daemon that used it before.
        for known in self._rows_at(row.address):
            if known.daemon_id != row.daemon_id and known.incarnation < row.incarnation:
                self.remove(known.daemon_id)
