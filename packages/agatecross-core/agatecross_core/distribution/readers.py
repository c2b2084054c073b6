"""Chooses the daemons that read the log, by rendezvous hashing over the live members."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from ..constants import MAX_MEMBERS, READERS_PER_REGION
from ..ids import DaemonId, RegionName
from ..members.records import Member
from ..states import MemberState


def readers(me: Member, members: Iterable[Member]) -> tuple[DaemonId, ...]:
    """Return the log readers of all regions, lowest weight first; `me` counts as alive."""
    by_region: dict[RegionName, set[DaemonId]] = {me.region: {me.daemon_id}}
    for member in members:
        if member.state is MemberState.ALIVE:
            by_region.setdefault(member.region, set()).add(member.daemon_id)
    chosen = (select_readers(ids, READERS_PER_REGION) for ids in by_region.values())
    return tuple(sorted((name for names in chosen for name in names), key=reader_weight))


def select_readers(daemon_ids: Iterable[DaemonId], count: int) -> tuple[DaemonId, ...]:
    """Return the `count` daemons with the lowest weights, lowest first."""
    return tuple(sorted(daemon_ids, key=reader_weight)[:count])


# Each change of the view needs the weights of all members, and the weight of an id never changes.
@lru_cache(maxsize=2 * MAX_MEMBERS)
def reader_weight(daemon_id: DaemonId) -> bytes:
    """Return the rendezvous weight of a daemon; those with the lowest weights read the log."""
    return hashlib.blake2b(daemon_id.encode(), digest_size=8).digest()
