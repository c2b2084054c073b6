"""Chooses the daemons that read the log, by rendezvous hashing over the live members."""

import hashlib
from collections.abc import Iterable

from ..constants import READERS_PER_REGION
from ..ids import DaemonId
from ..members.records import Member
from ..states import MemberState


def reader_rank(me: Member, members: Iterable[Member]) -> int:
    """Return this daemon's rank among the members of its region, 0 for the first reader."""
    mine = _weight(me.daemon_id)
    rivals = (
        member
        for member in members
        if member.region == me.region
        and member.daemon_id != me.daemon_id
        and member.state is MemberState.ALIVE
    )
    return sum(1 for member in rivals if _weight(member.daemon_id) < mine)


def is_reader(me: Member, members: Iterable[Member]) -> bool:
    """Return whether this daemon is one of the log readers of its region."""
    return reader_rank(me, members) < READERS_PER_REGION


def _weight(daemon_id: DaemonId) -> bytes:
    return hashlib.blake2b(daemon_id.encode(), digest_size=8).digest()
