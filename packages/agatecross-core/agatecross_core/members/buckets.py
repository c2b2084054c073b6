"""Hashes over buckets of the member table, which show two daemons where their tables differ."""

import zlib
from collections.abc import Iterable, Sequence
from typing import Final

from ..ids import DaemonId
from ..states import MemberState
from .records import Member

# One changed member of 1,300 then costs the transfer of one bucket: 41 records, about 7 KB.
BUCKET_COUNT: Final = 32


def bucket_of(daemon_id: DaemonId) -> int:
    """Return the bucket of a member."""
    return zlib.crc32(daemon_id.encode()) % BUCKET_COUNT


def hash_buckets(members: Iterable[Member]) -> tuple[int, ...]:
    """Return one hash for each bucket, over the members that are not dead.

    Suspicion is not hashed because it is short-lived and spreads by gossip.
    """
    hashes = [0] * BUCKET_COUNT
    for member in members:
        if member.state is not MemberState.DEAD:
            leaving = member.state is MemberState.LEAVING
            text = f"{member.daemon_id} {member.incarnation} {leaving}"
            hashes[bucket_of(member.daemon_id)] ^= zlib.crc32(text.encode())
    return tuple(hashes)


def members_in_differing_buckets(
    members: Iterable[Member], peer_hashes: Sequence[int]
) -> tuple[Member, ...]:
    """Return the members in buckets whose hashes differ, or all if the bucket counts differ."""
    rows = tuple(members)
    own_hashes = hash_buckets(rows)
    if len(peer_hashes) != len(own_hashes):
        return rows
    return tuple(m for m in rows if own_hashes[b := bucket_of(m.daemon_id)] != peer_hashes[b])
