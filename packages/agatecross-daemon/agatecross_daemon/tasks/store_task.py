"""Follows the configuration in the platform's store; owns the store's client."""

import asyncio
import random
import zlib
from collections.abc import Coroutine
from typing import Any

from agatecross_adapters.protocols import ConfigRead, FleetStore
from agatecross_core.distribution.propagation import (
    ANSWER_MARGIN,
    ConfigOrigin,
    ReaderRole,
    long_poll,
    reader_role,
)
from agatecross_core.distribution.store_era import EraChange
from agatecross_core.errors import HistoryLostError
from agatecross_core.ids import ZERO_MS, DaemonId, Millis, Offset, StoreEra, Version
from agatecross_core.members.directory import Directory
from agatecross_core.pacing import fleet_jitter, full_jitter

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender
from ..relay_messages import (
    DrainLost,
    DrainsLoaded,
    DrainStored,
    StoreReachability,
    TableInForce,
)
from ..relay_metrics import RelayMetrics
from ..store_messages import (
    ConfigChanged,
    ConfigReceived,
    ConfigSource,
    DeltaReceived,
    EndpointsRead,
    FullConfigNeeded,
    LinksChanged,
    PeerRemoved,
    StoreDrain,
    StoreMoved,
    StoreRestored,
    StoreRestoreReported,
)
from .announcements import Announcements
from .config_holder import ConfigDecoder, ConfigHolder
from .store_calls import StoreCalls

StoreMessage = (
    ConfigReceived
    | DeltaReceived
    | LinksChanged
    | StoreDrain
    | PeerRemoved
    | StoreRestoreReported
    | StoreMoved
)
STORE_RETRY_BASE = Millis(150)
STORE_RETRY_CAP = Millis(1_500)
# Daemons that do not follow the store read it this often for a change that they missed, in case no
# peer tells of it. A long configuration takes more than a second of a link of 3.5 Mbit/s.
NON_READER_POLL_SECONDS = 300.0
NON_READER_RETRY_SECONDS = 4.0
# A daemon that the store did not answer tries again this often, so that it can be a reader again.
UNSERVED_CHECK_SECONDS = 5.0
READER_CHECK_SECONDS = 0.25
# Longest pause between two reads of a store that holds no configuration that can be read.
MISSING_CONFIG_CAP_SECONDS = 2.0
# A starting daemon reads the store itself if no peer sent the configuration within this time. Links
# are open within 200 ms of the start; a caller's shortest time limit is a few times longer.
PEER_CONFIG_WAIT_SECONDS = 0.5
START_POLL_SECONDS = 0.05
# The store normally answers in 4 ms; the time-out allows for periods when it is far slower.
SLOW_READ_TIMEOUT = Millis(1_500)
READ_FROM_STORE = ConfigSource(ConfigOrigin.STORE, None, ZERO_MS)


class StoreTask:
    """Puts the newest configuration of the store or the peers in force; versions never decrease."""

    def __init__(
        self,
        mailbox: DirectMailbox[StoreMessage],
        store: FleetStore,
        decode: ConfigDecoder,
        apply_within: Millis,
        directory: Directory,
        entry: Sender[TableInForce],
        peers: Sender[
            ConfigChanged | FullConfigNeeded | StoreReachability | StoreRestored | EndpointsRead
        ],
        exit_mailbox: Sender[DrainsLoaded | DrainStored | DrainLost],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        mailbox.set_handler(self._handle)
        self.store = store
        self.apply_within = apply_within
        self.directory = directory
        self.peers = peers
        self.rng = rng
        self.log = log
        self.config = ConfigHolder(decode, entry, peers, log, metrics)
        self.missing_reads = 0
        self.open_links: frozenset[DaemonId] = frozenset()
        self.calls = StoreCalls(peers, self._on_restored, log, metrics)
        self.announcements = Announcements(
            store,
            self.calls,
            directory,
            peers,
            exit_mailbox,
            self.is_reader,
            self._wait_before_retry,
            rng,
            log,
            metrics,
        )
        self.offset: Offset | None = None
        self.background: set[asyncio.Task[None]] = set()

    @property
    def version(self) -> Version:
        """Return the version in force, 0 before the first."""
        return self.config.version

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        announcing = asyncio.ensure_future(self.announcements.run())
        try:
            await self._wait_for_peer_config()
            while True:
                role = self._reader_role()
                if self.offset is not None and role is not ReaderRole.NONE:
                    await self._read_next(self.offset, role)
                else:
                    await self._read_newest()
        finally:
            announcing.cancel()
            for task in self.background:
                task.cancel()

    async def _wait_for_peer_config(self) -> None:
        """Wait for a peer to send the configuration, unless this daemon is one of the readers."""
        left = PEER_CONFIG_WAIT_SECONDS
        while left > 0 and not self.version:
            await asyncio.sleep(START_POLL_SECONDS)
            left -= START_POLL_SECONDS
            known_peers = len(self.directory.rows) - 1
            # With few links open, each daemon would select itself as a reader.
            if 0 < known_peers <= 2 * len(self.open_links) and self.is_reader():
                return

    def _handle(self, message: StoreMessage) -> None:
        match message:
            case ConfigReceived(_, blob, source):
                try:
                    data = zlib.decompress(blob)
                except zlib.error as error:
                    self.log.write_change(
                        "config_malformed", source=source.origin.value, reason=str(error)
                    )
                    return
                self.config.apply(data, source)
            case DeltaReceived(delta, source):
                self.config.apply_delta(delta, source)
            case LinksChanged(open_links):
                self.open_links = open_links
            case StoreDrain(me):
                self._start_background(self.announcements.store_drain(me))
            case PeerRemoved(daemon_id):
                self.announcements.must_reread = True
                if self.is_reader():
                    self._start_background(self.announcements.withdraw(daemon_id))
            case StoreRestoreReported(era):
                self._handle_reported_restore(era)
            case StoreMoved():
                self.offset = None
                self.calls.store_moved()
                self.announcements.write_all()

    def _start_background(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def is_reader(self) -> bool:
        """Return whether this daemon follows the configuration in the store."""
        return self._reader_role() is not ReaderRole.NONE

    def _reader_role(self) -> ReaderRole:
        return reader_role(self.directory.me, self.directory.rows.values(), self.open_links)

    async def _read_newest(self) -> None:
        """Wait until a read is due, then read the newest configuration."""
        await self._wait_until_read_due()
        # A reader takes over from one that the store does not answer, so it must learn quickly
        # whether it is answered itself; after that, it allows for a store that is only slow.
        takes_over = self.version and not self.calls.failures
        timeout = ANSWER_MARGIN if takes_over else SLOW_READ_TIMEOUT
        answer = await self.calls.make("newest_config", self.store.newest_config(timeout))
        if answer is None:
            await self._wait_before_reading_again()
            return
        self._apply_read(answer.value)
        if not self.version:
            # The store has no readable configuration: poll less often, since every daemon does.
            delay = min(MISSING_CONFIG_CAP_SECONDS, READER_CHECK_SECONDS * 2**self.missing_reads)
            self.missing_reads += 1
            await asyncio.sleep(delay * self.rng.uniform(0.8, 1.2))

    async def _wait_until_read_due(self) -> None:
        if not self.version:
            return
        self.offset = None
        left = NON_READER_POLL_SECONDS * self.rng.uniform(0.8, 1.2)
        check_in = self._next_check()
        peers_served = self._serves_a_peer()
        while left > 0 and not self.is_reader():
            await asyncio.sleep(READER_CHECK_SECONDS)
            left -= READER_CHECK_SECONDS
            check_in -= READER_CHECK_SECONDS
            peers_were_served, peers_served = peers_served, self._serves_a_peer()
            if peers_served and not peers_were_served:
                # The outage is over; until others are served, one daemon reads for the fleet.
                delay = fleet_jitter(len(self.directory.rows), self.rng)
                check_in = min(check_in, delay / 1000)
            if self.calls.failures and check_in <= 0:
                await self.calls.make("check", self.store.check())
                check_in = self._next_check()

    def _serves_a_peer(self) -> bool:
        """Return whether the store answers any daemon with an open link."""
        rows = (self.directory.rows.get(daemon_id) for daemon_id in self.open_links)
        return any(row is not None and row.reaches_store for row in rows)

    def _next_check(self) -> float:
        return UNSERVED_CHECK_SECONDS * self.rng.uniform(0.8, 1.2)

    async def _read_next(self, offset: Offset, role: ReaderRole) -> None:
        poll = long_poll(role, self.apply_within)
        try:
            answer = await self.calls.make(
                "next_config", self.store.next_config(offset, poll.wait, poll.timeout)
            )
        except HistoryLostError as error:
            first = "" if error.first is None else error.first
            self.log.write_change("history_lost", offset=offset, first=first)
            self.offset = None
            return
        if answer is None:
            await self._wait_before_reading_again()
            return
        if self.offset is None:
            # The store was restored meanwhile, so the answer follows an offset of an earlier log.
            return
        read = answer.value
        self._apply_read(read)
        if read.left > 1:
            # Only the newest configuration is needed, and each takes seconds on a slow link.
            self.log.write_change("config_records_skipped", offset=read.offset, left=read.left)
            self.offset = None

    def _on_restored(self, era: StoreEra, change: EraChange) -> None:
        """Read the newest configuration again: at known offsets there may be other records."""
        self.offset = None
        self.peers.put(StoreRestored(era, reported=change is EraChange.CONFIRMED))
        self.announcements.store_restored(era)

    def _handle_reported_restore(self, era: StoreEra) -> None:
        # Only the store itself says what its era is; the next answer shows it.
        if not self.calls.eras.report(era):
            return
        self.log.write_change("store_restore_reported", era=era, known=self.calls.era or "")
        self.announcements.write_all()

    def _apply_read(self, read: ConfigRead) -> None:
        self.offset = read.offset
        if read.data is not None:
            self.config.apply(read.data, READ_FROM_STORE)

    async def _wait_before_reading_again(self) -> None:
        """Wait before a retry, unless this daemon does not read and waits for its next turn anyway.

        It may become a reader again within that time, when the store answers nobody.
        """
        if self.is_reader() or not self.version:
            await self._wait_before_retry()

    async def _wait_before_retry(self) -> None:
        if self.version and not self.is_reader():
            await asyncio.sleep(NON_READER_RETRY_SECONDS * self.rng.uniform(0.8, 1.2))
        else:
            delay = full_jitter(self.calls.failures, STORE_RETRY_BASE, STORE_RETRY_CAP, self.rng)
            await asyncio.sleep((STORE_RETRY_BASE + delay) / 1000)
