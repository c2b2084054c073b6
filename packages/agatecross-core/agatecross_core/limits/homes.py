"""Chooses the home of each customer, and counts the daemons that may admit calls."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

from ..constants import MAX_MEMBERS
from ..ids import CustomerName, DaemonId, HomeSlot, Millis

# Each daemon reports to every home, so a home more costs each daemon as many messages again.
DAEMONS_PER_HOME = 256
# A daemon that is lost without a sign that its process ended may still admit calls. It counts for
# so long; a deployment that loses machines for good has the rest of its limits back after it.
LOST_DAEMON_COUNTS_FOR = Millis(600_000)


def home_count(daemons: int) -> int:
    """Return the number of homes of a fleet."""
    return 1 + daemons // DAEMONS_PER_HOME


@lru_cache(maxsize=2 * MAX_MEMBERS)
def slot_of(customer: CustomerName, count: int) -> HomeSlot:
    """Return the slot of a customer in a fleet with `count` homes.

    The count is a part of the slot, so daemons that count differently report to different homes,
    and none of these takes the others' daemons for its own.
    """
    digest = hashlib.blake2b(customer.encode(), digest_size=8).digest()
    return HomeSlot(f"{int.from_bytes(digest) % count}/{count}")


def all_slots(count: int) -> tuple[HomeSlot, ...]:
    """Return the slots of a fleet with `count` homes."""
    return tuple(HomeSlot(f"{index}/{count}") for index in range(count))


def choose_home(slot: HomeSlot, daemons: Iterable[DaemonId]) -> DaemonId | None:
    """Return the home of a slot by rendezvous hashing, or None without daemons."""
    return min(daemons, key=lambda daemon: home_weight(slot, daemon), default=None)


@lru_cache(maxsize=8 * MAX_MEMBERS)
def home_weight(slot: HomeSlot, daemon: DaemonId) -> bytes:
    """Return the rendezvous weight of a daemon for a slot; the lowest is the home."""
    return hashlib.blake2b(f"{slot} {daemon}".encode(), digest_size=8).digest()


class FleetSize:
    """Counts the daemons that may admit calls: the known ones, and those lost lately."""

    def __init__(self, me: DaemonId) -> None:
        """Start with this daemon alone."""
        self.running: frozenset[DaemonId] = frozenset((me,))
        self.lost: dict[DaemonId, Millis] = {}
        # Grows only, so that a fleet of which many daemons end keeps its homes.
        self.largest = 1

    def update(self, known: frozenset[DaemonId], ended: frozenset[DaemonId], now: Millis) -> None:
        """Use the daemons in the directory, and those among them whose process has ended."""
        running = known - ended
        for daemon in self.running - running - ended:
            self.lost[daemon] = now
        for daemon in [i for i in self.lost if i in running or i in ended]:
            del self.lost[daemon]
        while len(self.lost) > MAX_MEMBERS:
            del self.lost[next(iter(self.lost))]
        self.largest = max(self.largest, len(known))
        self.running = running

    def count(self, now: Millis) -> int:
        """Return the number of daemons that may admit calls."""
        while self.lost:
            daemon, lost_at = next(iter(self.lost.items()))
            if now - lost_at < LOST_DAEMON_COUNTS_FOR:
                break
            del self.lost[daemon]
        return max(1, len(self.running) + len(self.lost))
