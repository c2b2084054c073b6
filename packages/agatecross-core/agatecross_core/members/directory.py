"""The upstreams of the fleet, as the daemons next to them describe themselves."""

from collections.abc import Iterable, Iterator
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
    is not known; `born` is its start in Unix milliseconds; `cold` is how long it is still slow.
    `reads_log` tells whether the daemon reached the platform's log lately; `log_latency` is the
    shortest time an answer took it in whole milliseconds, 0 while none came. Durations travel in
    whole milliseconds, and a daemon must know of itself what its peers know.
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
    reads_log: bool = True
    log_latency: Millis = ZERO_MS

    @property
    def order(self) -> tuple[int, int]:
        """Return the order of descriptions of the same daemon."""
        return (self.incarnation, self.sequence)

    @property
    def ready(self) -> bool:
        """Return whether the upstream takes new calls."""
        return self.instance is not None and self.state is UpstreamState.READY and not self.leaving


class Directory:
    """The newest description of each daemon; this daemon's own one is changed by `update`."""

    def __init__(self, me: Endpoint) -> None:
        """Start with this daemon alone."""
        self.me = me
        self.rows: dict[DaemonId, Endpoint] = {me.daemon_id: me}
        self.by_service: dict[ServiceName, tuple[Endpoint, ...]] = {}
        self._index()

    def merge(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Take newer descriptions and return those that were news.

        A description of this daemon from an incarnation that is not older (a restart with a clock
        that was set back) makes it take a higher incarnation.
        """
        newer = [row for row in endpoints if self._accepts(row)]
        for row in newer:
            self._remove_replaced(row)
            self.rows[row.daemon_id] = row
        if newer:
            self._index()
        return newer

    def update(self, **changes: object) -> Endpoint:
        """Change this daemon's own description and return it."""
        self.me = replace(self.me, sequence=self.me.sequence + 1, **changes)  # type: ignore[arg-type]
        self.rows[self.me.daemon_id] = self.me
        self._index()
        return self.me

    def remove(self, daemon_id: DaemonId) -> None:
        """Remove a daemon that is gone."""
        if self.rows.pop(daemon_id, None) is not None:
            self._index()

    def others(self) -> Iterator[Endpoint]:
        """Yield the other daemons."""
        return (row for row in self.rows.values() if row.daemon_id != self.me.daemon_id)

    def _accepts(self, row: Endpoint) -> bool:
        if row.daemon_id == self.me.daemon_id:
            if row.incarnation > self.me.incarnation:
                self.update(incarnation=Incarnation(row.incarnation + 1))
            return False
        known = self.rows.get(row.daemon_id)
        if known is not None:
            return row.order > known.order
        return all(
            other.address != row.address or other.incarnation < row.incarnation
            for other in self.others()
        )

    def _remove_replaced(self, row: Endpoint) -> None:
        # A machine that took over an address replaces whoever had it before.
        gone = [
            known.daemon_id
            for known in self.others()
            if known.address == row.address
            and known.daemon_id != row.daemon_id
            and known.incarnation < row.incarnation
        ]
        for daemon_id in gone:
            del self.rows[daemon_id]

    def _index(self) -> None:
        table: dict[ServiceName, list[Endpoint]] = {}
        for row in self.rows.values():
            if row.ready:
                table.setdefault(row.service, []).append(row)
        self.by_service = {service: tuple(rows) for service, rows in table.items()}
