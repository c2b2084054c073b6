"""Follows the configuration on the platform's store, and the announcements of daemons."""

import asyncio
import random
import zlib
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, TypeVar

from agatecross_adapters.hop_codec import decode_endpoint, encode_endpoint
from agatecross_adapters.hop_messages import ConfigDelta
from agatecross_adapters.protocols import FleetStore
from agatecross_core.distribution.delta import apply_delta, make_delta
from agatecross_core.distribution.feeding import reads_store
from agatecross_core.errors import DeltaError, HistoryLostError, MessageDecodeError, StoreError
from agatecross_core.ids import DaemonId, Millis, Offset, Version
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.pacing import full_jitter
from agatecross_core.routing.host_table import HostTable

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import DrainsLoaded, DrainStored, StoreReachability, TableInForce
from ..relay_metrics import RelayMetrics
from ..source_messages import (
    ConfigChanged,
    ConfigOrigin,
    ConfigReceived,
    DeltaReceived,
    DrainConfirmed,
    EndpointsRead,
    FullConfigNeeded,
    LinksChanged,
    PeerRemoved,
)

T = TypeVar("T")

SourceMessage = ConfigReceived | DeltaReceived | LinksChanged | DrainConfirmed | PeerRemoved
# A reader finds out within this time, and a margin, that the store went silent.
FOLLOW_WAIT = Millis(2_500)
RETRY_BASE = Millis(150)
RETRY_CAP = Millis(1_500)
# Daemons that do not follow look this often whether they missed something; pings from the daemons
# of their region tell them sooner.
CHECK_SECONDS = 30.0
UNREACHED_CHECK_SECONDS = 4.0
ROLE_CHECK_SECONDS = 0.25
# Reads may come from a state some seconds old, so the announcements are read more than once.
ANNOUNCEMENT_READS = (0.0, 4.0)
# A starting daemon reads the store itself when no peer gave it the configuration by then. Links
# are open within 200 ms of the start; a caller's shortest time limit is a few times longer.
PEERS_FIRST_SECONDS = 0.5
START_POLL_SECONDS = 0.05
# A daemon that forgot a peer looks this often whether it is announced again.
ANNOUNCEMENT_REREAD_SECONDS = 20.0
COMPRESSION = 6
# A drain is kept while it can matter: the upstream ends some seconds after it.
DRAIN_TRIES = 8
# A measured latency is told to the peers when it is this much lower than the one they know.
LATENCY_NEWS = 0.5

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
        peers: Sender[ConfigChanged | FullConfigNeeded | StoreReachability | EndpointsRead],
        exit_box: Sender[DrainsLoaded | DrainStored],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        mailbox.set_handler(self._handle)
        self.store = store
        self.decode = decode
        self.directory = directory
        self.entry = entry
        self.peers = peers
        self.exit = exit_box
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.version = Version(0)
        self.data = b""
        self.open_links: frozenset[DaemonId] = frozenset()
        self.latency = Millis(0)
        self.forgot_peer = False
        self.offset: Offset | None = None
        self.failures = 0
        self.background: set[asyncio.Task[None]] = set()
        self.draining: Endpoint | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        announcing = asyncio.ensure_future(self._announce())
        try:
            await self._ask_peers_first()
            while True:
                if self.offset is not None and self._is_reader():
                    await self._follow(self.offset)
                else:
                    await self._check()
        finally:
            announcing.cancel()
            for task in self.background:
                task.cancel()

    async def _ask_peers_first(self) -> None:
        """Wait for the configuration of a peer, unless this daemon is one of the readers."""
        left = PEERS_FIRST_SECONDS
        while left > 0 and not self.version:
            await asyncio.sleep(START_POLL_SECONDS)
            left -= START_POLL_SECONDS
            known = len(self.directory.rows) - 1
            # With few links open, each daemon would take itself for a reader.
            if 0 < known <= 2 * len(self.open_links) and self._is_reader():
                return

    def _handle(self, message: SourceMessage) -> None:
        match message:
            case ConfigReceived(_, blob, origin):
                try:
                    data = zlib.decompress(blob)
                except zlib.error as error:
                    self.log.write_change(
                        "config_malformed", source=origin.value, reason=str(error)
                    )
                    return
                self._take(data, origin)
            case DeltaReceived(delta, origin):
                self._take_delta(delta, origin)
            case LinksChanged(open_links):
                self.open_links = open_links
            case DrainConfirmed(me):
                self.draining = me
                self._start(self._keep_drain(me))
            case PeerRemoved(daemon_id):
                self.forgot_peer = True
                if self._is_reader():
                    self._start(self._withdraw(daemon_id))

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    def _is_reader(self) -> bool:
        return reads_store(self.directory.me, self.directory.rows.values(), self.open_links)

    async def _check(self) -> None:
        """Wait until it is time to look, then read the newest configuration."""
        await self._wait_for_role()
        answer = await self._ask("newest_config", self.store.newest_config())
        if answer is None:
            await self._pause()
            return
        data, self.offset = answer
        if data is not None:
            self._take(data, ConfigOrigin.STORE)
        if not self.version:
            await asyncio.sleep(ROLE_CHECK_SECONDS)

    async def _wait_for_role(self) -> None:
        if not self.version:
            return
        self.offset = None
        left = CHECK_SECONDS * self.rng.uniform(0.8, 1.2)
        while left > 0 and not self._is_reader():
            await asyncio.sleep(ROLE_CHECK_SECONDS)
            left -= ROLE_CHECK_SECONDS

    async def _follow(self, offset: Offset) -> None:
        try:
            answer = await self._ask("next_config", self.store.next_config(offset, FOLLOW_WAIT))
        except HistoryLostError:
            self.log.write_change("history_lost", offset=offset)
            self.offset = None
            return
        if answer is None:
            await self._pause()
            return
        data, self.offset = answer
        if data is not None:
            self._take(data, ConfigOrigin.STORE)

    async def _ask(self, operation: str, call: Awaitable[T]) -> T | None:
        """Return the answer, or None after a failure, which is logged when it is the first."""
        asked_at = monotonic_ms()
        try:
            answer = await call
        except HistoryLostError:
            raise
        except StoreError as error:
            self.metrics.store_calls.labels(operation, "failed").inc()
            if not self.failures:
                self.log.write_change("store_lost", operation=operation, reason=str(error))
            self.failures += 1
            self.peers.put(StoreReachability(False, self.latency))
            return None
        self.metrics.store_calls.labels(operation, "done").inc()
        if self.failures:
            self.log.write_change("store_regained", failures=self.failures)
        self.failures = 0
        # Peers are told whole milliseconds. The readers are picked by latency on every daemon, and
        # with other figures of itself a daemon may leave to others what they leave to it.
        took = Millis(max(1, int(monotonic_ms() - asked_at)))
        if not self.latency or took < LATENCY_NEWS * self.latency:
            self.latency = took
        self.peers.put(StoreReachability(True, self.latency))
        return answer

    async def _pause(self) -> None:
        if self.version and not self._is_reader():
            await asyncio.sleep(UNREACHED_CHECK_SECONDS * self.rng.uniform(0.8, 1.2))
        else:
            delay = full_jitter(self.failures, RETRY_BASE, RETRY_CAP, self.rng)
            await asyncio.sleep((RETRY_BASE + delay) / 1000)

    def _take_delta(self, delta: ConfigDelta, origin: ConfigOrigin) -> None:
        if delta.version <= self.version:
            return
        try:
            if delta.base != self.version:
                raise DeltaError(f"is to version {delta.base}, in force is {self.version}")
            data = apply_delta(self.data, delta.steps)
            if zlib.crc32(data) != delta.crc:
                raise DeltaError("the checksum of the result differs")
        except DeltaError as error:
            self.log.write_change("config_delta_unfit", version=delta.version, reason=str(error))
            self.peers.put(FullConfigNeeded(delta.version))
            return
        self._take(data, origin, delta)

    def _take(self, data: bytes, origin: ConfigOrigin, received: ConfigDelta | None = None) -> None:
        try:
            table = self.decode(data)
        except MessageDecodeError as error:
            self.log.write_change("config_malformed", source=origin.value, reason=str(error))
            return
        if table.version <= self.version:
            return
        self.log.write_change(
            "config_in_force",
            version=table.version,
            was=self.version,
            source=origin.value,
            routes=sum(map(len, table.hosts.values())),
        )
        delta = received or self._delta(table.version, data)
        self.version, self.data = table.version, data
        self.metrics.version.set(table.version)
        self.entry.put(TableInForce(table))
        blob = zlib.compress(data, COMPRESSION)
        self.peers.put(ConfigChanged(table.version, blob, delta, origin))

    def _delta(self, version: Version, data: bytes) -> ConfigDelta | None:
        if not self.version:
            return None
        return ConfigDelta(self.version, version, zlib.crc32(data), make_delta(self.data, data))

    async def _announce(self) -> None:
        """Announce this daemon, then read who else is there, again after a peer was forgotten."""
        while not await self._announced_me():
            await self._pause()
        begun = asyncio.get_running_loop().time()
        for at in ANNOUNCEMENT_READS:
            spread = self.rng.uniform(0, 0.3) if at else 0.0
            await asyncio.sleep(max(0.0, begun + at + spread - asyncio.get_running_loop().time()))
            await self._read_announcements()
        while True:
            await asyncio.sleep(ANNOUNCEMENT_REREAD_SECONDS * self.rng.uniform(0.8, 1.2))
            if self.forgot_peer:
                self.forgot_peer = False
                await self._read_announcements()

    async def _read_announcements(self) -> None:
        while (rows := await self._ask("announced", self.store.announced())) is None:
            await self._pause()
        endpoints = tuple(self._decoded(rows))
        self.peers.put(EndpointsRead(endpoints))
        self.exit.put(DrainsLoaded())
        me = self.directory.me
        if (me.daemon_id, me.incarnation) not in {(r.daemon_id, r.incarnation) for r in endpoints}:
            # A peer that could not reach this daemon withdrew its announcement.
            await self._announced_me()

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
                self.log.write_change("announcement_malformed", reason=str(error))
        return found

    async def _keep_drain(self, me: Endpoint) -> None:
        """Keep a confirmed drain for the time after a restart; it binds then too."""
        for _ in range(DRAIN_TRIES):
            if self.draining is not me or me.instance is None:
                # A later attempt took over; an earlier drain must not replace a newer one.
                return
            call = self.store.keep_drain(me.daemon_id, encode_endpoint(me))
            if await self._ask("keep_drain", _true(call)) is not None:
                self.exit.put(DrainStored(me.instance, me.born))
                return
            await asyncio.sleep(self.rng.uniform(RETRY_BASE, RETRY_CAP) / 1000)
        self.log.write_change("drain_not_kept", instance=me.instance or "", tries=DRAIN_TRIES)

    async def _withdraw(self, daemon_id: DaemonId) -> None:
        await self._ask("withdraw", _true(self.store.withdraw(daemon_id)))


async def _true(call: Awaitable[None]) -> bool:
    await call
    return True
