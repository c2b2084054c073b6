"""Selects the daemons that read the configuration from the store, and those that push it to others.

Only daemons of the region nearest to the store read. They push changes to relays in the other
regions, so a change crosses the link between two regions only a few times, whatever the size
of the fleet. Within a region, changes go down a tree.
"""

from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from ..constants import READERS_PER_REGION
from ..ids import DaemonId, Millis, RegionName
from ..members.directory import Endpoint
from .readers import reader_weight

# After the first reader has found the store silent, the next reader learns of it, reads the store
# and pushes the change within this time, over a link between regions with one lost packet.
TAKEOVER_TIME = Millis(600)
# An answer of a slow store takes 60 times the usual 4 ms, and one lost packet 200 to 300 ms more.
ANSWER_MARGIN = Millis(600)
# Readers that join for each one that the store does not answer. The next in turn are likely to have
# the same trouble, and a change must not wait for one after the other.
READERS_PER_UNSERVED = 2
# Bounds the calls to a store that answers nobody.
MAX_READERS = 16
# Limits the reads of a store whose changes must be in force within a second or less.
MIN_LONG_POLL_WAIT = Millis(200)
# A backup reader covers the death of the leading one, which its peers notice by themselves.
BACKUP_POLL_WAIT = Millis(2_500)
# A change of 1,400 routes has 26 KB as a delta. On a link of 3.5 Mbit/s it takes 0.25 s to send it
# four times, beside calls. A region of 650 daemons has five levels.
PUSH_FANOUT = 4


class ConfigOrigin(Enum):
    """Where a configuration came from."""

    STORE = "store"
    REGION = "region"
    OTHER_REGION = "other-region"


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
    eligible = [row for row in reachable_rows if _may_read(row)]
    nearest = _nearest_region(eligible)
    count = READERS_PER_REGION
    if nearest is None:
        eligible, nearest = reachable_rows, me.region
    else:
        count = _reader_count(row for row in reachable_rows if row.region == nearest)
    candidates = [row for row in eligible if row.region == nearest]
    readers = [row.daemon_id for row in sorted(candidates, key=_read_order)[:count]]
    if me.daemon_id not in readers:
        return ReaderRole.NONE
    has_spare = len(candidates) > len(readers)
    return ReaderRole.BACKUP if has_spare and me.daemon_id != readers[0] else ReaderRole.LEADING


def push_targets(
    me: Endpoint, rows: Iterable[Endpoint], reachable: Collection[DaemonId], origin: ConfigOrigin
) -> Iterator[DaemonId]:
    """Yield the daemons to which this daemon pushes a change.

    The daemons of a region form a tree, of which the readers are the top, so that no daemon sends a
    long change more than a few times. A daemon that has the change from elsewhere than its region
    also sends it to the top of the tree. One that no push reaches pulls the change.
    """
    endpoints = _reachable_endpoints(me, rows, reachable)
    near = _push_order(row for row in endpoints if row.region == me.region)
    position = near.index(me.daemon_id)
    if origin is not ConfigOrigin.REGION and position > 0:
        yield near[0]
    first_child = PUSH_FANOUT * position + 1
    yield from near[first_child : first_child + PUSH_FANOUT]
    if origin is ConfigOrigin.STORE:
        for region in {row.region for row in endpoints} - {me.region}:
            relays = _push_order(row for row in endpoints if row.region == region)
            yield from relays[:READERS_PER_REGION]


def push_links(
    me: Endpoint, rows: Collection[Endpoint], reachable: Collection[DaemonId]
) -> frozenset[DaemonId]:
    """Return the daemons to which this daemon pushes the next change, as far as it can tell."""
    near = _push_order(
        row for row in _reachable_endpoints(me, rows, reachable) if row.region == me.region
    )
    if reader_role(me, rows, reachable) is not ReaderRole.NONE:
        origin = ConfigOrigin.STORE
    elif me.daemon_id in near[:READERS_PER_REGION]:
        origin = ConfigOrigin.OTHER_REGION
    else:
        origin = ConfigOrigin.REGION
    return frozenset(push_targets(me, rows, reachable, origin))


def _push_order(rows: Iterable[Endpoint]) -> list[DaemonId]:
    """Return the daemons of one region, those that may read the store first, readers on top."""
    ordered = sorted(rows, key=lambda row: (not _may_read(row), _read_order(row)))
    return [row.daemon_id for row in ordered]


def _read_order(row: Endpoint) -> tuple[int, bytes]:
    """Return the sort key of readers: first the fastest links, by powers of four, then the weight.

    A configuration of 2,500 routes takes a link of 3.5 Mbit/s more than a second to read.
    """
    return -((row.link_rate.bit_length() + 1) // 2), reader_weight(row.daemon_id)


def _may_read(row: Endpoint) -> bool:
    return row.reaches_store and not row.leaving


def _reachable_endpoints(
    me: Endpoint, rows: Iterable[Endpoint], reachable: Collection[DaemonId]
) -> list[Endpoint]:
    others = (row for row in rows if row.daemon_id in reachable and row.daemon_id != me.daemon_id)
    return [me, *others]


def _nearest_region(rows: Iterable[Endpoint]) -> RegionName | None:
    """Return the region where the store answers fastest, or None while no answer was timed."""
    timed = [(row.store_latency, row.region) for row in rows if row.store_latency > 0]
    return min(timed)[1] if timed else None


def _reader_count(rows: Iterable[Endpoint]) -> int:
    unserved = sum(not row.reaches_store for row in rows)
    return min(MAX_READERS, READERS_PER_REGION + READERS_PER_UNSERVED * unserved)
