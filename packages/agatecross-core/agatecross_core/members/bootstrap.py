"""Decides whether this daemon announces itself on the log, and whom it contacts first."""

import random
from collections.abc import Iterable

from ..constants import BOOTSTRAP_ANNOUNCEMENTS
from ..ids import Address, DaemonId
from .records import AnnounceRecord, Member


def contacts(
    records: Iterable[AnnounceRecord], me: DaemonId, rng: random.Random
) -> tuple[Address, ...]:
    """Return the control addresses to try, newest announcement of each daemon, shuffled."""
    newest = {r.member.daemon_id: r.member for r in records if r.member.daemon_id != me}
    addresses = [member.control_address for member in newest.values()]
    rng.shuffle(addresses)
    return tuple(addresses)


def needs_announcement(
    records: Iterable[AnnounceRecord], live: Iterable[Member], me: DaemonId
) -> bool:
    """Return whether too few live members are announced, this daemon not among them."""
    announced = {r.member.daemon_id: r.member.control_address for r in records}
    alive = {m.daemon_id: m.control_address for m in live}
    fresh = [i for i, address in announced.items() if alive.get(i) == address]
    return me not in fresh and len(fresh) < BOOTSTRAP_ANNOUNCEMENTS
