"""Follows the configuration on the platform's store, and the announcements of daemons."""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

from agatecross_adapters.hop_codec import decode_endpoint, encode_endpoint
from agatecross_adapters.protocols import FleetStore
from agatecross_core.constants import READERS_PER_REGION
from agatecross_core.distribution.readers import select_readers
from agatecross_core.errors import HistoryLostError, MessageDecodeError, StoreError
from agatecross_core.ids import DaemonId, Millis, Offset, Version
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.pacing import full_jitter
from agatecross_core.routing.host_table import HostTable

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender
from ..relay_messages import LogReached, TableInForce
from ..relay_metrics import RelayMetrics
from ..source_messages import ConfigChanged, ConfigReceived, EndpointsRead, PeerForgotten

T = TypeVar("T")

SourceMessage = ConfigReceived | PeerForgotten
# A reader finds out within this time, and a margin, that the store went silent.
FOLLOW_WAIT = Millis(2_500)
RETRY_BASE = Millis(150)
RETRY_CAP = Millis(1_500)
# Daemons that do not follow look this often whether they missed something.
CHECK_SECONDS = 10.0
UNREACHED_CHECK_SECONDS = 4.0
ROLE_CHECK_SECONDS = 0.25
# Reads may come from a state some seconds old, so the announcements are read more than once.
ANNOUNCEMENT_READS = (0.0, 1.0, 4.0, 8.0)
COMPRESSION = 6

ConfigDecoder = Callable[[bytes], HostTable]
"""Returns the compiled configuration; raises `MessageDecodeError`."""


class SourceTask:
    """Takes the newest configuration from the store or from peers; versions never go down."""

    def __init__(
        self,
        mailbox: DirectMailbox[SourceMessage],
        store: FleetStore,
        decode: ConfigDecoder,
        directory: Directory,
        entry: Sender[TableInForce],
        peers: Sender[ConfigChanged | LogReached | EndpointsRead],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        mailbox.own(self._handle)
        self.store = store
        self.decode = decode
        self.directory = directory
        self.entry = entry
        self.peers = peers
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.version = Version(0)
        self.offset: Offset | None = None
        self.failures = 0
        self.background: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        announcing = asyncio.ensure_future(self._announce())
        try:
            while True:
                if self.offset is None or not self._is_reader():
                    await self._check()
                else:
                    await self._follow(self.offset)
        finally:
            announcing.cancel()

    def _handle(self, message: SourceMessage) -> None:
        match message:
            case ConfigReceived(_, blob):
                try:
                    data = zlib.decompress(blob)
                except zlib.error as error:
                    self.log.change("config_malformed", source="peer", reason=str(error))
                    return
                self._take(data, "peer")
            case PeerForgotten(daemon_id):
                if self._is_reader():
                    task = asyncio.ensure_future(self._withdraw(daemon_id))
                    self.background.add(task)
                    task.add_done_callback(self.background.discard)

    def _is_reader(self) -> bool:
        me = self.directory.me
        region = [row for row in self.directory.rows.values() if row.region == me.region]
        able = [row for row in region if row.reads_log and not row.leaving] or region
        chosen = select_readers((row.daemon_id for row in able), READERS_PER_REGION)
        return me.daemon_id in chosen

    async def _check(self) -> None:
        """Read the newest configuration, then wait until it is time to look again."""
        answer = await self._ask("newest_config", self.store.newest_config())
        if answer is None:
            await self._pause()
            return
        data, self.offset = answer
        if data is not None:
            self._take(data, "store")
        await self._wait_for_role()

    async def _wait_for_role(self) -> None:
        if not self.version:
            await asyncio.sleep(ROLE_CHECK_SECONDS)
            return
        left = CHECK_SECONDS * self.rng.uniform(0.8, 1.2)
        while left > 0 and not self._is_reader():
            await asyncio.sleep(ROLE_CHECK_SECONDS)
            left -= ROLE_CHECK_SECONDS

    async def _follow(self, offset: Offset) -> None:
        try:
            answer = await self._ask("next_config", self.store.next_config(offset, FOLLOW_WAIT))
        except HistoryLostError:
            self.log.change("history_lost", offset=offset)
            self.offset = None
            return
        if answer is None:
            await self._pause()
            return
        data, self.offset = answer
        if data is not None:
            self._take(data, "store")

    async def _ask(self, operation: str, call: Awaitable[T]) -> T | None:
        """Return the answer, or None after a failure, which is logged when it is the first."""
        try:
            answer = await call
        except HistoryLostError:
            raise
        except StoreError as error:
            self.metrics.store_calls.labels(operation, "failed").inc()
            if not self.failures:
                self.log.change("store_lost", operation=operation, reason=str(error))
            self.failures += 1
            self.peers.put(LogReached(False))
            return None
        self.metrics.store_calls.labels(operation, "done").inc()
        if self.failures:
            self.log.change("store_regained", failures=self.failures)
        self.failures = 0
        self.peers.put(LogReached(True))
        return answer

    async def _pause(self) -> None:
        if self.version and not self._is_reader():
            await asyncio.sleep(UNREACHED_CHECK_SECONDS * self.rng.uniform(0.8, 1.2))
        else:
            delay = full_jitter(self.failures, RETRY_BASE, RETRY_CAP, self.rng)
            await asyncio.sleep((RETRY_BASE + delay) / 1000)

    def _take(self, data: bytes, source: str) -> None:
        try:
            table = self.decode(data)
        except MessageDecodeError as error:
            self.log.change("config_malformed", source=source, reason=str(error))
            return
        if table.version <= self.version:
            return
        self.log.change(
            "config_in_force",
            version=table.version,
            was=self.version,
            source=source,
            routes=sum(map(len, table.hosts.values())),
        )
        self.version = table.version
        self.metrics.version.set(table.version)
        self.entry.put(TableInForce(table))
        blob = zlib.compress(data, COMPRESSION)
        self.peers.put(ConfigChanged(table.version, blob, source == "store"))

    async def _announce(self) -> None:
        """Announce this daemon, then read who else is there; both again until they worked."""
        while not await self._announced_me():
            await self._pause()
        begun = asyncio.get_running_loop().time()
        for at in ANNOUNCEMENT_READS:
            spread = self.rng.uniform(0, 0.3) if at else 0.0
            await asyncio.sleep(max(0.0, begun + at + spread - asyncio.get_running_loop().time()))
            while (rows := await self._ask("announced", self.store.announced())) is None:
                await self._pause()
            self.peers.put(EndpointsRead(tuple(self._decoded(rows))))

    async def _announced_me(self) -> bool:
        me = self.directory.me
        call = self.store.announce(me.daemon_id, encode_endpoint(me))
        return await self._ask("announce", _true(call)) is not None

    def _decoded(self, rows: tuple[bytes, ...]) -> list[Endpoint]:
        found: list[Endpoint] = []
        for data in rows:
            try:
                found.append(decode_endpoint(data))
            except MessageDecodeError as error:
                self.log.change("announcement_malformed", reason=str(error))
        return found

    async def _withdraw(self, daemon_id: DaemonId) -> None:
        await self._ask("withdraw", _true(self.store.withdraw(daemon_id)))


async def _true(call: Awaitable[None]) -> bool:
    await call
    return True
