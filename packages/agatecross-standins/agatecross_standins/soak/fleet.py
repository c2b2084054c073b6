"""The fleet of a soak: daemon processes, and stand-ins for the store and the upstreams."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, Version
from agatecross_daemon.process_signals import HANDLED_SIGNALS

from ..platform_config import config_record
from ..platform_store import PlatformStoreStandIn
from ..platform_upstream import PlatformUpstream
from ..ports import PortPool
from .customers import customer_rows
from .proxy import FaultyLink

DAEMON_SITES = (
    ("north", "north-a", "s0"),
    ("north", "north-a", "s1"),
    ("north", "north-b", "s0"),
    ("south", "south-a", "s1"),
    ("south", "south-a", "s0"),
    ("south", "south-b", "s1"),
)
HEARTBEAT_INTERVAL_SECONDS = 0.5
SHUTDOWN_GRACE_SECONDS = 4.0
WORK_SECONDS = 0.02
SETTINGS_TEMPLATE = """
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
    settings_path: Path
    log_path: Path
    peers_link: FaultyLink = field(default_factory=FaultyLink)
    upstream_link: FaultyLink = field(default_factory=FaultyLink)
    store_link: FaultyLink = field(default_factory=FaultyLink)
    process: "subprocess.Popen[bytes] | None" = None
    pidfd: int = -1
    stopping: bool = False
    exit_codes: list[int] = field(default_factory=list)

    @property
    def caller_address(self) -> Address:
        """Return the address for callers."""
        return Address(self.addresses["callers"])

    @property
    def is_running(self) -> bool:
        """Return whether a process was started and its exit was not observed yet."""
        return self.pidfd >= 0

    def attach_process(self, process: "subprocess.Popen[bytes]") -> None:
        """Track a newly started process."""
        self.process = process
        self.pidfd = os.pidfd_open(process.pid)
        self.stopping = False

    async def wait_for_exit(self) -> None:
        """Wait until the process has exited and record its exit code."""
        loop, pidfd = asyncio.get_running_loop(), self.pidfd
        ended = asyncio.Event()
        loop.add_reader(pidfd, ended.set)
        try:
            await ended.wait()
        finally:
            loop.remove_reader(pidfd)
        self.reap()

    def reap(self) -> None:
        """Record the exit code of the process, waiting for its exit."""
        if self.process is not None and self.pidfd >= 0:
            os.close(self.pidfd)
            self.pidfd = -1
            self.exit_codes.append(self.process.wait())

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the running process without reaping it.

        The exit code is left to `wait_for_exit`.
        """
        if self.pidfd >= 0:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, number)


class SoakFleet:
    """Starts, monitors and ends the processes of the fleet, and no others."""

    def __init__(self, log_directory: Path) -> None:
        self.log_directory = log_directory
        self.store = PlatformStoreStandIn()
        self.ports = PortPool()
        self.nodes: list[Node] = []
        self.version = Version(0)
        self.replaced_upstreams: list[PlatformUpstream] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.closing = False

    async def start(self) -> None:
        """Start the store, the upstreams and the tasks that run the daemons."""
        store = self.store.listen()
        self.publish()
        for number in range(len(DAEMON_SITES)):
            await self._add_node(number, store)
        for node in self.nodes:
            self.tasks.append(asyncio.ensure_future(self._restart_on_exit(node)))
            self.tasks.append(asyncio.ensure_future(self._send_heartbeats(node)))

    async def close(self) -> None:
        """End every process and stop the stand-ins."""
        self.closing = True
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.nodes:
            node.send_signal(signal.SIGCONT)
            node.send_signal(signal.SIGKILL)
            node.reap()
            for link in (node.peers_link, node.upstream_link, node.store_link):
                await link.close()
            node.upstream.crash()
        await self.store.close()
        self.ports.close()

    def publish(self) -> None:
        """Write the next configuration version, which adds a route named after it."""
        self.version = Version(self.version + 1)
        self.write_again(("config",))

    def write_again(self, keys: Iterable[str]) -> None:
        """Write the newest record of each key of the operator's topic, in this order."""
        marker = (f"/v{self.version}/", "safe", "s1")
        for key in keys:
            record = config_record(self.version, (marker,), tenants=customer_rows(self.version))
            value = record if key == "config" else b"{}"
            self.store.append_record("keyed.op", key, value)

    async def replace_upstream(self, node: Node) -> None:
        """Replace the upstream of a daemon by a new one with another name."""
        old = node.upstream
        self.replaced_upstreams.append(old)
        old.crash()
        node.upstream = self._new_upstream(f"{old.name}x", old.service)
        node.upstream.born = old.born + 1
        node.upstream_link.target = await node.upstream.listen()
        node.upstream.address = Address(node.addresses["upstream"])

    def _new_upstream(self, name: str, service: str) -> PlatformUpstream:
        upstream = PlatformUpstream(name, service, 1_000)
        upstream.work_seconds = WORK_SECONDS
        return upstream

    async def _add_node(self, number: int, store: Address) -> None:
        region, data_centre, service = DAEMON_SITES[number]
        names = ("callers", "peers", "ready", "heartbeats", "metrics")
        ports = self.ports.reserve(len(names))
        addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
        settings_path = self.log_directory / f"d{number}.toml"
        upstream = self._new_upstream(f"u{number}", service)
        node = Node(
            number, upstream, addresses, settings_path, self.log_directory / f"d{number}.log"
        )
        node.upstream_link.target = await upstream.listen()
        node.peers_link.target = Address(addresses["peers"])
        node.store_link.target = store
        addresses["announced"] = await node.peers_link.listen()
        # The daemon is configured with, and the upstream announces, the address of the proxy.
        addresses["upstream"] = upstream.address = await node.upstream_link.listen()
        text = SETTINGS_TEMPLATE.format(
            number=number,
            region=region,
            data_centre=data_centre,
            service=service,
            store=await node.store_link.listen(),
            **addresses,
        )
        settings_path.write_text(text, encoding="utf-8")
        self.nodes.append(node)

    async def _restart_on_exit(self, node: Node) -> None:
        """Start the daemon of a node, restart it after each exit and record the exit codes."""
        while not self.closing:
            node.attach_process(_spawn_daemon(node))
            await node.wait_for_exit()

    async def _send_heartbeats(self, node: Node) -> None:
        while True:
            try:
                await node.upstream.heartbeat(Address(node.addresses["heartbeats"]))
            except ExchangeError:
                # The daemon is down or paused; the next heartbeat repeats the announcement.
                await asyncio.sleep(0)
            await asyncio.sleep(HEARTBEAT_INTERVAL_SECONDS)


def _spawn_daemon(node: Node) -> "subprocess.Popen[bytes]":
    """Start the daemon of a node with signals blocked until the daemon handles them.

    Without the block, a signal during the start of the interpreter would end the process before
    the daemon can install its handlers. On a busy machine this start took up to a second.
    """
    command = [sys.executable, "-m", "agatecross_daemon", f"--settings={node.settings_path}"]
    before = signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    try:
        with node.log_path.open("ab") as log_file:
            return subprocess.Popen(command, stdout=log_file, stderr=log_file)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)
