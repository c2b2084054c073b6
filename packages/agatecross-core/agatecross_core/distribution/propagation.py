"""Selects the daemons that read the configuration from the store, and those that they push it to.

Only daemons of the region nearest to the store read. They push changes to relays in the other
regions, so a change crosses the link between two regions only a few times, whatever the size
of the fleet.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from ..constants import READERS_PER_REGION
from ..ids import DaemonId, Millis, RegionName
from ..members.directory import Endpoint
from .readers import select_readers

# After the first reader has found the store silent, the next reader learns of it, reads the store
# and pushes the change within this time, over a link between regions with one lost packet.
TAKEOVER_TIME = Millis(600)
# An answer of a slow store takes 60 times the usual 4 ms, and one lost packet 200 to 300 ms more.
ANSWER_MARGIN = Millis(600)
# Limits the reads of a store whose changes must be in force within a second or less.
MIN_LONG_POLL_WAIT = Millis(200)
# A backup reader covers the death of the leading one, which its peers notice by themselves.
BACKUP_POLL_WAIT = Millis(2_500)


class ReaderRole(Enum):
    """Whether a daemon reads the store, and whether it must notice a silent store in time."""

    NONE = "none"
    BACKUP = "backup"
    LEADING = "leading"


@dataclass(frozen=True, slots=True)
class LongPoll:
    """How long the store may hold a read without a change, and when the reader gives up on it."""

    wait: Millis
    timeout: Millis


def long_poll(role: ReaderRole, apply_within: Millis) -> LongPoll:
    """Return the long poll of a reader.

    A store that answers only some daemons may be silent for all readers at once, and a silent read
    looks like one without a change. The leading reader therefore finds out early enough for the
    next reader to bring a change into force within `apply_within`.
    """
    wait = BACKUP_POLL_WAIT
    if role is ReaderRole.LEADING:
        wait = Millis(max(MIN_LONG_POLL_WAIT, apply_within - TAKEOVER_TIME - ANSWER_MARGIN))
    return LongPoll(wait, Millis(wait + ANSWER_MARGIN))


def reader_role(
    me: Endpoint, rows: Iterable[Endpoint], reachable: Collection[DaemonId]
) -> ReaderRole:
    """Return the role of this daemon; all readers lead where no further daemon could take over.

    Daemons that this one cannot reach cannot push changes to it, so they do not count: a daemon
    that is cut off from the readers becomes a reader itself.
    """
    reachable_rows = _reachable_endpoints(me, rows, reachable)
    eligible = [row for row in reachable_rows if row.reaches_store and not row.leaving]
    nearest = _nearest_region(eligible)
    if nearest is None:
        eligible, nearest = reachable_rows, me.region
    candidates = [row for row in eligible if row.region == nearest]
    readers = _select_readers_in(candidates, nearest)
    if me.daemon_id not in readers:
        return ReaderRole.NONE
    has_spare = len(candidates) > len(readers)
    return ReaderRole.BACKUP if has_spare and me.daemon_id != readers[0] else ReaderRole.LEADING


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
