"""Selects the daemons that read the configuration from the store, and those that they push it to.

Only daemons of the region nearest to the store read. They push changes to relays in the other
regions, so a change crosses the link between two regions only a few times, whatever the size
of the fleet.
"""

from collections.abc import Collection, Iterable, Iterator

from ..constants import READERS_PER_REGION
from ..ids import DaemonId, RegionName
from ..members.directory import Endpoint
from .readers import select_readers


def reads_store(me: Endpoint, rows: Iterable[Endpoint], reachable: Collection[DaemonId]) -> bool:
    """Return whether this daemon reads from the store.

    Daemons that this one cannot reach cannot push changes to it, so they do not count: a daemon
    that is cut off from the readers becomes a reader itself.
    """
    eligible = [
        row
        for row in _reachable_endpoints(me, rows, reachable)
        if row.reaches_store and not row.leaving
    ]
    nearest = _nearest_region(eligible)
    if nearest is None:
        return me.daemon_id in _select_readers_in(
            _reachable_endpoints(me, rows, reachable), me.region
        )
    return me.region == nearest and me.daemon_id in _select_readers_in(eligible, nearest)


def push_targets(
    me: Endpoint, rows: Iterable[Endpoint], reachable: Collection[DaemonId], from_store: bool
) -> Iterator[DaemonId]:
    """Yield the daemons to which this daemon pushes a change.

    The change came from the store if `from_store` is set, and otherwise from another region.
    """
    endpoints = [
        row for row in _reachable_endpoints(me, rows, reachable) if row.daemon_id != me.daemon_id
    ]
    yield from (row.daemon_id for row in endpoints if row.region == me.region)
    if from_store:
        for region in {row.region for row in endpoints} - {me.region}:
            yield from _select_readers_in(endpoints, region)


def _reachable_endpoints(
    me: Endpoint, rows: Iterable[Endpoint], reachable: Collection[DaemonId]
) -> list[Endpoint]:
    others = (row for row in rows if row.daemon_id in reachable and row.daemon_id != me.daemon_id)
    return [me, *others]


def _nearest_region(rows: Iterable[Endpoint]) -> RegionName | None:
    """Return the region where the store answers fastest, or None while no answer was timed."""
    timed = [(row.store_latency, row.region) for row in rows if row.store_latency > 0]
    return min(timed)[1] if timed else None


def _select_readers_in(rows: Iterable[Endpoint], region: RegionName) -> tuple[DaemonId, ...]:
    ids = (row.daemon_id for row in rows if row.region == region)
    return select_readers(ids, READERS_PER_REGION)
