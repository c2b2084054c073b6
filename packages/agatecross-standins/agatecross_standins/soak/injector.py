"""Injects the faults of a schedule and records which nodes they disturb and when."""

import asyncio
import signal
import time
from collections.abc import Iterable

from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address

from ..platform_upstream import Answer
from .events import AnnouncedLeave, ConfirmedLeave, History, LimitedTime
from .fleet import SHUTDOWN_GRACE_SECONDS, Node, SoakFleet
from .proxy import LinkMode
from .schedule import Fault, FaultKind

SLOW_WORK_SECONDS = 0.8
LINK_DELAY_SECONDS = 0.15
# Requests per second; an upstream of the soak can serve twenty times as many.
UPSTREAM_LIMIT = 10.0
# Node number in a disturbance that affects the whole fleet.
ALL_NODES = -1
# Time after a fault, such as a kill, until peers and callers work with the daemon again.
RECOVERY_SECONDS = 3.0
STOP_POLL_INTERVAL_SECONDS = 0.05
# Time for which the store is away before it comes back from a copy.
RESTORE_SECONDS = 0.5
# Keys of the operator's topic in the order in which they are written after a restore.
REWRITE_ORDERS = (
    ("config",),
    ("config", "other"),
    ("other", "config"),
    ("config", "other", "other"),
)
FAULTY_ANSWERS = (
    Answer.RESET,
    Answer.EXTRA,
    Answer.GARBLED,
    Answer.TRUNCATED,
    Answer.ERROR,
    Answer.SHED,
)


class Injector:
    """Injects faults, each in its own task, so that faults can overlap."""

    def __init__(self, fleet: SoakFleet, history: History) -> None:
        self.fleet = fleet
        self.history = history

    async def run(self, faults: Iterable[Fault]) -> None:
        """Inject the faults of a schedule and return when all of them have ended."""
        started_at = time.monotonic()
        running = []
        for fault in faults:
            await asyncio.sleep(max(0.0, started_at + fault.at - time.monotonic()))
            running.append(asyncio.ensure_future(self._run_fault(fault)))
        await asyncio.gather(*running)

    async def stop_without_faults(self, node: Node) -> None:
        """Stop a daemon gracefully while no fault is active that could excuse a broken request."""
        await asyncio.sleep(RECOVERY_SECONDS)
        await self._stop_gracefully(node)

    async def _run_fault(self, fault: Fault) -> None:
        node = self.fleet.nodes[fault.node]
        started_at = time.monotonic()
        if fault.kind is FaultKind.HERD_SILENT:
            await self._silence_all(fault, started_at)
            return
        await self._inject(fault, node)
        if fault.kind is FaultKind.TERM:
            return
        affects_all = fault.kind.value.startswith(("store", "herd", "link", "upstream"))
        node_number = ALL_NODES if affects_all else fault.node
        if fault.kind not in (FaultKind.PUBLISH, FaultKind.HANG_UP):
            row = (node_number, started_at, time.monotonic() + RECOVERY_SECONDS)
            self.history.disturbances.append(row)

    async def _inject(self, fault: Fault, node: Node) -> None:
        match fault.kind:
            case FaultKind.KILL:
                self._record_restart(node)
                node.send_signal(signal.SIGKILL)
            case FaultKind.KILL_ALL:
                for row in self.fleet.nodes:
                    self._record_restart(row)
                    row.send_signal(signal.SIGKILL)
            case FaultKind.TERM:
                await self._stop_gracefully(node)
            case FaultKind.PAUSE:
                self._record_restart(node)
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(fault.duration_seconds)
                node.send_signal(signal.SIGCONT)
            case FaultKind.HANG_UP:
                node.send_signal(signal.SIGHUP)
            case FaultKind.LINK_DELAY:
                node.peers_link.delay_seconds = LINK_DELAY_SECONDS
                await asyncio.sleep(fault.duration_seconds)
                node.peers_link.delay_seconds = 0.0
            case FaultKind.LINK_RESET:
                node.peers_link.reset()
            case FaultKind.LINK_ONE_WAY:
                node.peers_link.mode = LinkMode.ONE_WAY
                await asyncio.sleep(fault.duration_seconds)
                node.peers_link.mode = LinkMode.OPEN
            case FaultKind.LINK_SILENT:
                node.peers_link.silence_connections()
            case FaultKind.PUBLISH:
                self._publish()
            case _:
                await self._inject_dependency_fault(fault, node)

    async def _inject_dependency_fault(self, fault: Fault, node: Node) -> None:
        """Inject a fault of an upstream, the store, or the links to them."""
        switches = self.fleet.store.switches
        match fault.kind:
            case FaultKind.UPSTREAM_LINK_RESET:
                node.upstream_link.reset()
            case FaultKind.UPSTREAM_LINK_SILENT:
                node.upstream_link.silence_connections()
            case FaultKind.UPSTREAM_SLOW:
                upstream, normal_work_seconds = node.upstream, node.upstream.work_seconds
                upstream.work_seconds = SLOW_WORK_SECONDS
                await asyncio.sleep(fault.duration_seconds)
                upstream.work_seconds = min(normal_work_seconds, SLOW_WORK_SECONDS)
            case FaultKind.UPSTREAM_FAULTY:
                node.upstream.queue_answers(FAULTY_ANSWERS)
            case FaultKind.UPSTREAM_CRASH:
                await self.fleet.replace_upstream(node)
            case FaultKind.UPSTREAM_LEAVE:
                await self._leave_and_replace(node)
            case FaultKind.UPSTREAM_LIMITED:
                await self._limit_upstream(node, fault.duration_seconds)
            case FaultKind.UPSTREAM_SAYS_LEAVING:
                await self._say_leaving_and_replace(node)
            case FaultKind.STORE_REFUSES:
                switches.refuse = True
                await asyncio.sleep(fault.duration_seconds)
                switches.refuse = False
            case FaultKind.STORE_SILENT:
                switches.silent = True
                await asyncio.sleep(fault.duration_seconds)
                switches.silent = False
            case FaultKind.STORE_COMPACTION:
                self.fleet.store.compact("keyed.op")
            case FaultKind.STORE_LINK_RESET:
                node.store_link.reset()
            case FaultKind.STORE_RESTORED:
                await self._restore_store(fault)

    def _publish(self) -> None:
        self.fleet.publish()
        self.history.published.append((self.fleet.version, time.monotonic()))

    async def _silence_all(self, fault: Fault, started_at: float) -> None:
        """Silence every open connection, which disturbs only until the daemons are in touch."""
        for node in self.fleet.nodes:
            node.peers_link.silence_connections()
            node.store_link.silence_connections()
        row = (ALL_NODES, started_at, started_at + RECOVERY_SECONDS)
        self.history.disturbances.append(row)
        await asyncio.sleep(fault.duration_seconds)
        self._publish()

    async def _restore_store(self, fault: Fault) -> None:
        """Bring the store back from a copy; the operator writes its newest records again."""
        store = self.fleet.store
        copy = store.copy_topics()
        await asyncio.sleep(fault.duration_seconds)
        store.switches.refuse = True
        await asyncio.sleep(RESTORE_SECONDS)
        store.restore(copy)
        keys = REWRITE_ORDERS[fault.node % len(REWRITE_ORDERS)]
        self.fleet.write_again(keys)
        store.switches.refuse = False

    async def _stop_gracefully(self, node: Node) -> None:
        """Send SIGTERM, and SIGKILL if the process still runs after the grace period."""
        if not node.is_running or node.stopping:
            return
        node.stopping = True
        started_at = time.monotonic()
        process = node.process
        self._record_restart(node)
        node.send_signal(signal.SIGTERM)
        while (
            node.process is process
            and node.is_running
            and time.monotonic() < started_at + SHUTDOWN_GRACE_SECONDS
        ):
            await asyncio.sleep(STOP_POLL_INTERVAL_SECONDS)
        if node.process is process:
            node.send_signal(signal.SIGKILL)
        # The next process starts up to the grace period after the signal.
        self._record_restart(node)
        self.history.graceful_stops.append((node.number, started_at, time.monotonic()))

    async def _limit_upstream(self, node: Node, seconds: float) -> None:
        """Let the upstream name a limit in its answers for a time."""
        upstream = node.upstream
        if upstream.limit:
            return
        upstream.limit = str(UPSTREAM_LIMIT)
        upstream.named_limits.clear()
        await asyncio.sleep(seconds)
        upstream.limit = ""
        if upstream.named_limits:
            row = LimitedTime(
                upstream.name,
                UPSTREAM_LIMIT,
                upstream.named_limits[0][0],
                time.monotonic(),
                tuple(upstream.run_starts),
            )
            self.history.limited_times.append(row)

    async def _say_leaving_and_replace(self, node: Node) -> None:
        """Let the answers of the upstream say that it leaves, and replace it after a time."""
        upstream = node.upstream
        upstream.leaving = True
        await asyncio.sleep(2 * RECOVERY_SECONDS)
        if node.upstream is upstream:
            await self.fleet.replace_upstream(node)
        if upstream.said_leaving_at is not None:
            row = AnnouncedLeave(
                upstream.name, upstream.said_leaving_at, tuple(upstream.run_starts)
            )
            self.history.announced_leaves.append(row)

    def _record_restart(self, node: Node) -> None:
        self.history.restarts.append((node.number, time.monotonic()))

    async def _leave_and_replace(self, node: Node) -> None:
        """Announce the leave of the upstream and replace it after the recovery time."""
        upstream = node.upstream
        body = b'{"born":%d}' % upstream.born
        try:
            status = await upstream.send_announcement(
                Address(node.addresses["heartbeats"]), "leave", body
            )
        except ExchangeError:
            # The platform makes no promise about a leave that was not confirmed.
            return
        confirmed = time.monotonic()
        await asyncio.sleep(RECOVERY_SECONDS)
        if node.upstream is upstream:
            await self.fleet.replace_upstream(node)
        if status == 200:
            row = ConfirmedLeave(upstream.name, confirmed, tuple(upstream.run_starts))
            self.history.leaves.append(row)
