"""A fleet of daemons' control tasks on a network in memory, in virtual time."""

import asyncio
import contextlib
import os
import random
import time
from types import SimpleNamespace
from unittest import mock

from agatecross_adapters.protocols import ConfigRead, StoreAnswer
from agatecross_core.ids import Address, Millis, Offset
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_daemon.decision_log import DecisionLog
from agatecross_daemon.direct_mailbox import DirectMailbox
from agatecross_daemon.relay_metrics import RelayMetrics
from agatecross_daemon.tasks.peers_task import PeersTask
from agatecross_daemon.tasks.store_task import StoreTask
from agatecross_standins.virtual_network import VirtualLoop, VirtualNetwork

REGIONS = ("north", "south")
STORE_LATENCY_SECONDS = {"north": 0.004, "south": 0.02}
START_SECONDS = 10.0


class VirtualStore:
    """The store as one region reaches it: the newest version, and the announcements."""

    def __init__(self, shared, region):
        self.shared = shared
        self.latency = STORE_LATENCY_SECONDS[region]

    async def newest_config(self, timeout):
        await asyncio.sleep(self.latency)
        return self._read()

    async def next_config(self, start, wait, timeout):
        await asyncio.sleep(self.latency)
        changed = self.shared.changed
        if start > self.shared.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait / 1000):
                    await changed.wait()
        return self._read()

    def _read(self):
        shared = self.shared
        data = shared.document(shared.version)
        return StoreAnswer(ConfigRead(data, Offset(shared.version + 1)), None)

    async def check(self):
        await asyncio.sleep(self.latency)
        return StoreAnswer(None, None)

    async def announce(self, daemon_id, data):
        await asyncio.sleep(self.latency)
        self.shared.announced[daemon_id] = data
        return StoreAnswer(None, None)

    announce_drain = announce

    async def withdraw(self, daemon_id):
        self.shared.announced.pop(daemon_id, None)
        return StoreAnswer(None, None)

    async def read_announcements(self):
        await asyncio.sleep(self.latency)
        return StoreAnswer(tuple(self.shared.announced.values()), None)


class SharedStore:
    """What all regions read."""

    def __init__(self, document_bytes):
        # Random bytes, so that a change is about as long as the document.
        self.padding = random.Random(1).randbytes(document_bytes).hex() if document_bytes else ""
        self.version = 1
        self.changed = asyncio.Event()
        self.announced = {}

    def document(self, version):
        rng = random.Random(version)
        middle = rng.randbytes(len(self.padding) // 2).hex()
        return f"{version} {middle}".encode()

    def publish(self):
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()


class VirtualFleet:
    """Daemons with a `PeersTask` and a `StoreTask` each, half of them in each region."""

    def __init__(self, daemons, mbit=1_000.0, document_bytes=0, delay_ms=8.0):
        self.network = VirtualNetwork(delay_ms / 1000, mbit * 1e6 / 8)
        self.loop = VirtualLoop(self.network)
        self.daemons, self.tasks = [], []
        with mock.patch.object(time, "monotonic", self.loop.time):
            asyncio.set_event_loop(self.loop)
            self.store = SharedStore(document_bytes)
            self.loop.run_until_complete(self._start(daemons))

    async def _start(self, count):
        for number in range(count):
            region = REGIONS[number % 2]
            self.daemons.append(self._daemon(f"d{number}", region, number))
        for daemon in self.daemons:
            await daemon.peers.start()
            self.tasks += [
                asyncio.ensure_future(task.run()) for task in (daemon.peers, daemon.store)
            ]
        await asyncio.sleep(START_SECONDS)
        links = {sum(link.is_open for link in d.peers.links.values()) for d in self.daemons}
        assert links == {count - 1}, f"open links: {links}"

    def _daemon(self, name, region, number):
        rng = random.Random(number)
        address = Address(f"10.0.0.{number}:1")
        directory = Directory(Endpoint(name, 1, 0, address, region, f"{region}-a", "shop"))
        log, metrics = DecisionLog(os.open(os.devnull, os.O_WRONLY)), RelayMetrics()
        peers_mailbox, store_mailbox = DirectMailbox(), DirectMailbox()
        ignored = SimpleNamespace(put=lambda message: None)
        exit_messages = []
        exit_mailbox = SimpleNamespace(put=exit_messages.append)
        peers = PeersTask(
            peers_mailbox,
            address,
            directory,
            exit_mailbox,
            ignored,
            store_mailbox,
            ignored,
            rng,
            log,
            metrics,
        )
        store = StoreTask(
            store_mailbox,
            VirtualStore(self.store, region),
            decode,
            Millis(2_000),
            directory,
            ignored,
            peers_mailbox,
            ignored,
            rng,
            log,
            metrics,
        )
        return SimpleNamespace(name=name, peers=peers, store=store, exit_messages=exit_messages)

    def run(self, work):
        """Run a coroutine in virtual time."""
        with mock.patch.object(time, "monotonic", self.loop.time):
            return self.loop.run_until_complete(work)

    def close(self):
        """End every task."""

        async def end():
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

        self.run(end())
        self.loop.close()
        asyncio.set_event_loop(None)

    def behind(self):
        """Return the daemons without the newest version."""
        return [d.name for d in self.daemons if d.store.version < self.store.version]


def decode(data):
    """Return a table with the version at the start of a document."""
    return SimpleNamespace(version=int(data.split()[0]), hosts={}, unknown_kinds=())
