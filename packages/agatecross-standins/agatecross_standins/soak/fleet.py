"""The fleet of a soak: daemons as processes, and stand-ins of the store and the upstreams."""

import asyncio
import contextlib
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, Version

from ..platform_config import config_record
from ..platform_store import PlatformStoreStandIn
from ..platform_upstream import PlatformUpstream
from ..ports import PortPool
from .proxy import FaultyLink

PLACES = (
    ("north", "north-a", "s0"),
    ("north", "north-a", "s1"),
    ("north", "north-b", "s0"),
    ("south", "south-a", "s1"),
    ("south", "south-a", "s0"),
    ("south", "south-b", "s1"),
)
HEARTBEAT_SECONDS = 0.5
GRACE_SECONDS = 4.0
WORK_SECONDS = 0.02
SETTINGS = """
[sidecar]
id = "d{number}"
region = "{region}"
data_centre = "{data_centre}"
[listen]
callers = "{callers}"
peers = "{peers}"
peers_announced = "{announced}"
ready = "{ready}"
heartbeats = "{heartbeats}"
metrics = "{metrics}"
[upstream]
service = "{service}"
address = "{upstream}"
heartbeat = "500ms"
[store]
address = "{store}"
[retries]
ratio = 0.2
slack = 600
window = "10s"
[shutdown]
grace = "4s"
"""


@dataclass(slots=True)
class Node:
    """One daemon, its upstream, and the links to them and to the store."""

    number: int
    upstream: PlatformUpstream
    addresses: dict[str, str]
    settings: Path
    log: Path
    peers_link: FaultyLink = field(default_factory=FaultyLink)
    upstream_link: FaultyLink = field(default_factory=FaultyLink)
    store_link: FaultyLink = field(default_factory=FaultyLink)
    process: asyncio.subprocess.Process | None = None
    process_descriptor: int = -1
    stopping: bool = False
    ended: list[int] = field(default_factory=list)

    @property
    def callers(self) -> Address:
        """Return the address for callers."""
        return Address(self.addresses["callers"])

    @property
    def runs(self) -> bool:
        """Return whether the process was not seen to end."""
        return self.process is not None and self.process.returncode is None

    def started(self, process: asyncio.subprocess.Process) -> None:
        """Take a new process."""
        self.process = process
        self.stopping = False
        try:
            self.process_descriptor = os.pidfd_open(process.pid)
        except ProcessLookupError:
            # It has ended already; the pid may be that of another process by now.
            self.process_descriptor = -1

    def ended_with(self, code: int) -> None:
        """Note the exit code of the process."""
        self.ended.append(code)
        if self.process_descriptor >= 0:
            os.close(self.process_descriptor)
            self.process_descriptor = -1

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the running process.

        `Process.send_signal` first looks whether the process has ended, and with that takes the
        exit code away from the watcher that waits for it; the code is then reported as 255.
        """
        if self.runs and self.process_descriptor >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.process_descriptor, number)


class SoakFleet:
    """Starts, watches and ends the processes; only those that it started."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = PlatformStoreStandIn()
        self.ports = PortPool()
        self.nodes: list[Node] = []
        self.version = Version(0)
        self.retired: list[PlatformUpstream] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.closing = False

    async def start(self) -> None:
        """Start everything and wait until each daemon answers calls."""
        store = self.store.listen()
        self.publish()
        for number in range(len(PLACES)):
            await self._add(number, store)
        for node in self.nodes:
            self.tasks.append(asyncio.ensure_future(self._keep_running(node)))
            self.tasks.append(asyncio.ensure_future(self._announce(node)))

    async def close(self) -> None:
        """End everything."""
        self.closing = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            if node.process is not None and node.process.returncode is None:
                node.signal(signal.SIGCONT)
                node.signal(signal.SIGKILL)
                await node.process.wait()
            for link in (node.peers_link, node.upstream_link, node.store_link):
                await link.close()
            node.upstream.crash()
        await self.store.close()
        self.ports.close()

    def publish(self) -> None:
        """Write the next version; it has a route of its own."""
        self.version = Version(self.version + 1)
        marker = (f"/v{self.version}/", "safe", "s1")
        self.store.put("keyed.op", "config", config_record(self.version, (marker,)))

    async def replace_upstream(self, node: Node) -> None:
        """Put a new upstream, under a new name, behind the same daemon."""
        old = node.upstream
        self.retired.append(old)
        old.crash()
        node.upstream = self._upstream(f"{old.name}x", old.service)
        node.upstream.born = old.born + 1
        node.upstream_link.target = await node.upstream.listen()
        node.upstream.address = Address(node.addresses["upstream"])

    def _upstream(self, name: str, service: str) -> PlatformUpstream:
        upstream = PlatformUpstream(name, service, 1_000)
        upstream.work_seconds = WORK_SECONDS
        return upstream

    async def _add(self, number: int, store: Address) -> None:
        region, data_centre, service = PLACES[number]
        names = ("callers", "peers", "ready", "heartbeats", "metrics")
        ports = self.ports.reserve(len(names))
        addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
        settings = self.folder / f"d{number}.toml"
        upstream = self._upstream(f"u{number}", service)
        node = Node(number, upstream, addresses, settings, self.folder / f"d{number}.log")
        node.upstream_link.target = await upstream.listen()
        node.peers_link.target = Address(addresses["peers"])
        node.store_link.target = store
        addresses["announced"] = await node.peers_link.listen()
        # The daemon and the upstream know the upstream by the address of its proxy.
        addresses["upstream"] = upstream.address = await node.upstream_link.listen()
        text = SETTINGS.format(
            number=number,
            region=region,
            data_centre=data_centre,
            service=service,
            store=await node.store_link.listen(),
            **addresses,
        )
        settings.write_text(text, encoding="utf-8")
        self.nodes.append(node)

    async def _keep_running(self, node: Node) -> None:
        """Start the daemon of a node again whenever it has ended, and note its exit code."""
        while not self.closing:
            with node.log.open("ab") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "agatecross_daemon",
                    f"--settings={node.settings}",
                    stdout=log,
                    stderr=log,
                )
            node.started(process)
            node.ended_with(await process.wait())

    async def _announce(self, node: Node) -> None:
        while True:
            try:
                await node.upstream.heartbeat(Address(node.addresses["heartbeats"]))
            except ExchangeError:
                # The daemon is down or paused; the next heartbeat tells it the same.
                await asyncio.sleep(0)
            await asyncio.sleep(HEARTBEAT_SECONDS)
