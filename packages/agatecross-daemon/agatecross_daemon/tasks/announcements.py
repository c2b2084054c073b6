"""Keeps this daemon's records in the store and reads those of others; part of the store task."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator

from agatecross_adapters.endpoint_codec import decode_endpoint, encode_endpoint
from agatecross_adapters.protocols import FleetStore, StoreAnswer
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import DaemonId, Millis, StoreEra
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.stored_records import StoredRecord, StoredRecords
from agatecross_core.pacing import fleet_jitter
from agatecross_core.states import UpstreamState

from ..decision_log import DecisionLog
from ..mailbox import Sender
from ..relay_messages import DrainLost, DrainsLoaded, DrainStored
from ..relay_metrics import RelayMetrics
from ..store_messages import EndpointsRead
from .store_calls import StoreCalls

# The store may answer from a state some seconds old, so announcements are read more than once.
READ_DELAYS_SECONDS = (0.0, 4.0)
# How often a daemon that forgot a peer checks whether the peer is announced again.
REREAD_SECONDS = 20.0
# Storing a drain is retried only while it matters: the upstream exits some seconds after its leave.
STORE_DRAIN_ATTEMPTS = 8
DRAIN_RETRY_MIN = Millis(150)
DRAIN_RETRY_MAX = Millis(1_500)


class Announcements:
    """Writes the announcement and the drain of this daemon, again after the store lost them."""

    def __init__(
        self,
        store: FleetStore,
        calls: StoreCalls,
        directory: Directory,
        peers: Sender[EndpointsRead],
        exit_mailbox: Sender[DrainsLoaded | DrainStored | DrainLost],
        is_reader: Callable[[], bool],
        wait_before_retry: Callable[[], Awaitable[None]],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        self.store = store
        self.calls = calls
        self.directory = directory
        self.peers = peers
        self.exit = exit_mailbox
        self.is_reader = is_reader
        self.wait_before_retry = wait_before_retry
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.records = StoredRecords()
        self.records_missing = asyncio.Event()
        self.latest_drain: Endpoint | None = None
        self.must_reread = False

    async def run(self) -> None:
        """Announce this daemon, read all announcements, and keep both current until cancelled."""
        rewriting = asyncio.ensure_future(self._write_missing_records())
        try:
            while not await self._announce_self():
                await self.wait_before_retry()
            await self._read_after_start()
            while True:
                await asyncio.sleep(REREAD_SECONDS * self.rng.uniform(0.8, 1.2))
                if self.must_reread:
                    self.must_reread = False
                    await self._read_announcements()
        finally:
            rewriting.cancel()

    def store_restored(self, era: StoreEra) -> None:
        """Write again what the store may have lost: it came back from an older copy in `era`."""
        self.records.store_restored(era)
        self._start_writing()

    def write_all(self) -> None:
        """Write everything again: the store is another one, or a peer reports a later era."""
        self.records.all_missing()
        self._start_writing()

    async def store_drain(self, me: Endpoint) -> None:
        """Store a confirmed drain, so that it still applies after a restart."""
        self.latest_drain = me
        for _ in range(STORE_DRAIN_ATTEMPTS):
            if self.latest_drain is not me or me.instance is None:
                # A later request took over; an earlier drain must not replace a newer one.
                return
            if await self._write(StoredRecord.DRAIN):
                return
            await asyncio.sleep(self._drain_retry_seconds())
        self.log.write_change(
            "drain_not_stored", instance=me.instance or "", tries=STORE_DRAIN_ATTEMPTS
        )

    async def withdraw(self, daemon_id: DaemonId) -> None:
        """Delete the records of a daemon that is gone."""
        await self.calls.make("withdraw", self.store.withdraw(daemon_id))

    def _start_writing(self) -> None:
        drain = self.latest_drain
        if StoredRecord.DRAIN in self.records.missing and drain is not None and drain.instance:
            self.exit.put(DrainLost(drain.instance, drain.born))
        self.records_missing.set()

    async def _write_missing_records(self) -> None:
        """Write missing records, the drain first: a restart of all daemons would undo it."""
        while True:
            await self.records_missing.wait()
            self.records_missing.clear()
            await self._write_drain_again()
            delay = fleet_jitter(len(self.directory.rows), self.rng)
            await asyncio.sleep(delay / 1000)
            while StoredRecord.ANNOUNCEMENT in self.records.missing:
                if not await self._write_again(StoredRecord.ANNOUNCEMENT):
                    await self.wait_before_retry()
            # The copy may hold announcements that were withdrawn since it was made.
            self.must_reread = self.must_reread or self.is_reader()

    async def _write_drain_again(self) -> None:
        while StoredRecord.DRAIN in self.records.missing:
            if not self._drain_matters():
                self.records.drop(StoredRecord.DRAIN)
            elif not await self._write_again(StoredRecord.DRAIN):
                await asyncio.sleep(self._drain_retry_seconds())

    def _drain_matters(self) -> bool:
        drain, me = self.latest_drain, self.directory.me
        return (
            drain is not None
            and me.state is UpstreamState.DRAINING
            and (me.instance, me.born) == (drain.instance, drain.born)
        )

    def _drain_retry_seconds(self) -> float:
        return self.rng.uniform(DRAIN_RETRY_MIN, DRAIN_RETRY_MAX) / 1000

    async def _write_again(self, record: StoredRecord) -> bool:
        if not await self._write(record):
            return False
        self.metrics.store_rewrites.labels(record.value).inc()
        era = self.records.written[record]
        self.log.write_change(
            "store_record_rewritten", record=record.value, era="" if era is None else era
        )
        return True

    async def _write(self, record: StoredRecord) -> bool:
        """Write a record and return whether the store confirmed it."""
        if record is StoredRecord.ANNOUNCEMENT:
            return await self._announce_self()
        drain = self.latest_drain
        if drain is None or drain.instance is None:
            return False
        call = self.store.announce_drain(drain.daemon_id, encode_endpoint(drain))
        answer = await self.calls.make("keep_drain", call)
        if self._confirm(record, answer) and self.latest_drain is drain:
            self.exit.put(DrainStored(drain.instance, drain.born))
        return answer is not None

    async def _announce_self(self) -> bool:
        me = self.directory.me
        call = self.store.announce(me.daemon_id, encode_endpoint(me))
        answer = await self.calls.make("announce", call)
        return self._confirm(StoredRecord.ANNOUNCEMENT, answer)

    def _confirm(self, record: StoredRecord, answer: StoreAnswer[None] | None) -> bool:
        if answer is None:
            return False
        self.records.record_written(record, answer.era)
        return True

    async def _read_after_start(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        for delay in READ_DELAYS_SECONDS:
            jitter = self.rng.uniform(0, 0.3) if delay else 0.0
            await asyncio.sleep(max(0.0, started_at + delay + jitter - loop.time()))
            await self._read_announcements()

    async def _read_announcements(self) -> None:
        while (
            answer := await self.calls.make("announced", self.store.read_announcements())
        ) is None:
            await self.wait_before_retry()
        endpoints = tuple(self._decode_endpoints(answer.value))
        self.peers.put(EndpointsRead(endpoints))
        self.exit.put(DrainsLoaded())
        me = self.directory.me
        if (me.daemon_id, me.incarnation) not in {(r.daemon_id, r.incarnation) for r in endpoints}:
            # A peer that could not reach this daemon has withdrawn its announcement.
            await self._announce_self()

    def _decode_endpoints(self, rows: tuple[bytes, ...]) -> Iterator[Endpoint]:
        for data in rows:
            try:
                yield decode_endpoint(data)
            except MessageDecodeError as error:
                self.log.write_change("announcement_malformed", reason=str(error))
