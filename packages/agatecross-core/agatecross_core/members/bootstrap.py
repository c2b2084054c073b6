"""Decides when to read and write announcements on the log, and which daemons to contact first."""

import math
import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from ..constants import BOOTSTRAP_ANNOUNCEMENTS, MAX_MEMBERS, NO_ERA
from ..ids import Address, DaemonId, Millis, Offset, StoreEra
from .records import AnnounceRecord, Member

READ_RETRY_BASE_DELAY = Millis(1_000)
MAX_READ_RETRY_DELAY = Millis(30_000)
# With this period, 1,300 daemons together read the stream about four times per second.
ANNOUNCEMENT_CHECK_PERIOD = Millis(600_000)
CONTACTS_PER_READ = 3
MIN_ANNOUNCE_WINDOW = Millis(1_000)
MAX_ANNOUNCE_WINDOW = Millis(60_000)
# With a window of 60 log round trips, the number of announcements grows by at most a third during
# the two round trips that an announcement takes to become visible.
ANNOUNCE_WINDOW_ROUND_TRIPS = 60


class BootstrapState(Enum):
    """What this daemon is waiting for."""

    JOINING = "joining"
    ANNOUNCING = "announcing"
    SETTLED = "settled"


@dataclass(frozen=True, slots=True)
class ReadAnnouncements:
    """Action: read the members stream from `start` to its end."""

    start: Offset


@dataclass(frozen=True, slots=True)
class ContactPeer:
    """Action: fetch the full member table from an announced daemon."""

    address: Address


@dataclass(frozen=True, slots=True)
class Announce:
    """Action: append this daemon's own record to the members stream."""


@dataclass(frozen=True, slots=True)
class AnnouncementsRead:
    """Records of the members stream before offset `end`; `first` is the oldest retained offset.

    `era` rises whenever the log comes back from an older copy.
    """

    records: tuple[tuple[Offset, AnnounceRecord], ...]
    first: Offset
    end: Offset
    era: StoreEra = NO_ERA


BootstrapAction = ReadAnnouncements | ContactPeer | Announce


class Bootstrap:
    """Finds the first peers and keeps enough live daemons announced on the log."""

    def __init__(self, me: Member, rng: random.Random) -> None:
        """Start without known announcements."""
        self.me = me
        self.rng = rng
        self.state = BootstrapState.JOINING
        self.announced: dict[DaemonId, Member] = {}
        self.offsets: dict[DaemonId, Offset] = {}
        self.unreachable: set[DaemonId] = set()
        self.position = Offset(0)
        self.era: StoreEra | None = None
        self.next_read_at: Millis | None = None
        self.read_started_at = Millis(0)
        self.reading = False
        self.must_discard_read = False
        self.failures = 0

    def tick(self, now: Millis) -> Iterator[BootstrapAction]:
        """Start a read of the stream when one is due."""
        if self.reading or (self.next_read_at is not None and now < self.next_read_at):
            return
        self.reading = True
        self.read_started_at = now
        yield ReadAnnouncements(self.position)

    def read_failed(self, now: Millis) -> None:
        """Schedule another read after a full-jitter delay whose limit doubles with each failure."""
        self.reading = False
        self.must_discard_read = False
        self._schedule_retry(now)

    def announcements_read(
        self, page: AnnouncementsRead, live: Iterable[Member], now: Millis
    ) -> Iterator[BootstrapAction]:
        """Contact announced daemons that are unknown here, and announce this daemon if due."""
        self.reading = False
        if self.must_discard_read:
            self.must_discard_read = False
            return
        self._record_page(page)
        alive = {member.daemon_id: member.control_address for member in live}
        unknown_members = [
            m for i, m in self.announced.items() if i not in alive and i != self.me.daemon_id
        ]
        # Contacting announced daemons that are unknown here also reconnects regions after a
        # partition that lasted longer than dead members are retained.
        candidates = [
            m for m in unknown_members if m.daemon_id not in self.unreachable
        ] or unknown_members
        for member in self.rng.sample(candidates, min(CONTACTS_PER_READ, len(candidates))):
            yield ContactPeer(member.control_address)
        yield from self._decide_announcement(alive, now)

    def contact_answered(self, address: Address, answered: bool) -> None:
        """Record whether the daemon announced at this address answered."""
        ids = {i for i, m in self.announced.items() if m.control_address == address}
        self.unreachable = self.unreachable - ids if answered else self.unreachable | ids

    def log_replaced(self, now: Millis) -> None:
        """Read the stream from its start soon, because the log may have lost announcements."""
        for daemon_id in list(self.offsets):
            self._drop(daemon_id)
        self.position = Offset(0)
        # A read in flight started at the position in the earlier log.
        self.must_discard_read = self.reading
        self.state = BootstrapState.JOINING
        self.next_read_at = Millis(now + MIN_ANNOUNCE_WINDOW * self.rng.random())

    def announce_failed(self, now: Millis) -> None:
        """Schedule another read, which shows whether the append took effect despite the failure."""
        self.state = BootstrapState.JOINING
        self._schedule_retry(now)

    def _record_page(self, page: AnnouncementsRead) -> None:
        era, self.era = self.era, page.era
        # A log of another era, or that ends at a lower offset, may have lost announcements.
        reset = era not in (None, page.era) or page.end < self.position
        for offset, record in page.records:
            daemon_id = record.member.daemon_id
            self.unreachable.discard(daemon_id)
            self.announced[daemon_id] = record.member
            self.offsets[daemon_id] = offset
        # New daemons cannot read announcements that the log no longer retains.
        for daemon_id in [i for i, offset in self.offsets.items() if reset or offset < page.first]:
            self._drop(daemon_id)
        while len(self.announced) > MAX_MEMBERS:
            self._drop(min(self.offsets, key=self.offsets.__getitem__))
        self.position = Offset(0) if reset else page.end

    def _drop(self, daemon_id: DaemonId) -> None:
        del self.announced[daemon_id]
        del self.offsets[daemon_id]
        self.unreachable.discard(daemon_id)

    def _decide_announcement(
        self, alive: dict[DaemonId, Address], now: Millis
    ) -> Iterator[BootstrapAction]:
        if self._enough_announced(alive):
            self.state = BootstrapState.SETTLED
            if alive:
                self.failures = 0
                self.next_read_at = Millis(
                    now + ANNOUNCEMENT_CHECK_PERIOD * (0.5 + self.rng.random())
                )
            else:
                self._schedule_retry(now)
        elif self.state is BootstrapState.ANNOUNCING:
            self.state = BootstrapState.SETTLED
            yield Announce()
            self._schedule_retry(now)
        else:
            self.state = BootstrapState.ANNOUNCING
            self.next_read_at = Millis(now + self._announce_delay(now))

    def _enough_announced(self, alive: dict[DaemonId, Address]) -> bool:
        """Return whether this daemon or enough others are announced.

        Unknown daemons count until they fail to answer. Otherwise daemons that start together
        would announce a second set.
        """
        own = self.announced.get(self.me.daemon_id)
        if own is not None and own.control_address == self.me.control_address:
            return True
        usable = sum(
            1
            for i, member in self.announced.items()
            if i != self.me.daemon_id
            and (
                alive.get(i) == member.control_address
                or (i not in alive and i not in self.unreachable)
            )
        )
        return usable >= BOOTSTRAP_ANNOUNCEMENTS

    def _announce_delay(self, now: Millis) -> Millis:
        """Draw a random delay that is short for only a few daemons, whatever the size of the fleet.

        Of up to `MAX_MEMBERS` daemons that start together, the share whose delay has passed grows
        exponentially from 1/MAX_MEMBERS to 1 over the window, so that only a few announce
        themselves before they read each other's announcements.
        """
        round_trips = ANNOUNCE_WINDOW_ROUND_TRIPS * (now - self.read_started_at)
        window = min(MAX_ANNOUNCE_WINDOW, max(MIN_ANNOUNCE_WINDOW, round_trips))
        share = max(self.rng.random(), 1 / MAX_MEMBERS)
        return Millis(window * (1 + math.log(share) / math.log(MAX_MEMBERS)))

    def _schedule_retry(self, now: Millis) -> None:
        limit = min(MAX_READ_RETRY_DELAY, READ_RETRY_BASE_DELAY * 2**self.failures)
        self.failures = min(self.failures + 1, 16)
        self.next_read_at = Millis(now + limit * self.rng.random())
