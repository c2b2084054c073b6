"""Begins and ends the faults of a schedule, and keeps what they disturb."""

import asyncio
import signal
import time
from collections.abc import Iterable

from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address

from ..platform_upstream import Answer
from .events import History, Left
from .fleet import GRACE_SECONDS, Node, SoakFleet
from .proxy import LinkMode
from .schedule import Fault, FaultKind

SLOW_SECONDS = 0.8
LINK_DELAY_SECONDS = 0.15
# A fault of the whole fleet or of its store.
EVERY_NODE = -1
# A daemon that was killed needs this long until its peers and callers work with it again.
AFTER_SECONDS = 3.0
SIGTERM_CHECK_SECONDS = 0.05
FAULTY = (Answer.RESET, Answer.EXTRA, Answer.GARBLED, Answer.TRUNCATED, Answer.ERROR, Answer.SHED)


class Injector:
    """Carries out faults; each runs as a task, so that they overlap."""

    def __init__(self, fleet: SoakFleet, history: History) -> None:
        self.fleet = fleet
        self.history = history

    async def run(self, faults: Iterable[Fault]) -> None:
        """Carry out a schedule and return when every fault has ended."""
        begun = time.monotonic()
        running = []
        for fault in faults:
            await asyncio.sleep(max(0.0, begun + fault.at - time.monotonic()))
            running.append(asyncio.ensure_future(self._carry_out(fault)))
        await asyncio.gather(*running)

    async def stop_undisturbed(self, node: Node) -> None:
        """Stop a daemon while nothing else happens, so that no fault excuses a cut."""
        await asyncio.sleep(AFTER_SECONDS)
        await self._stop(node)

    async def _carry_out(self, fault: Fault) -> None:
        node = self.fleet.nodes[fault.node]
        begun = time.monotonic()
        await self._inject(fault, node)
        if fault.kind is FaultKind.TERM:
            return
        whole = fault.kind.value.startswith(("store", "herd", "link", "upstream"))
        place = EVERY_NODE if whole else fault.node
        if fault.kind not in (FaultKind.PUBLISH, FaultKind.HANG_UP):
            row = (place, begun, time.monotonic() + AFTER_SECONDS)
            self.history.disturbed.append(row)

    async def _inject(self, fault: Fault, node: Node) -> None:
        match fault.kind:
            case FaultKind.KILL:
                node.signal(signal.SIGKILL)
            case FaultKind.HERD_KILL:
                for row in self.fleet.nodes:
                    row.signal(signal.SIGKILL)
            case FaultKind.TERM:
                await self._stop(node)
            case FaultKind.PAUSE:
                node.signal(signal.SIGSTOP)
                await asyncio.sleep(fault.lasts)
                node.signal(signal.SIGCONT)
            case FaultKind.HANG_UP:
                node.signal(signal.SIGHUP)
            case FaultKind.LINK_DELAY:
                node.peers_link.delay = LINK_DELAY_SECONDS
                await asyncio.sleep(fault.lasts)
                node.peers_link.delay = 0.0
            case FaultKind.LINK_RESET:
                node.peers_link.reset()
            case FaultKind.LINK_ONE_WAY:
                node.peers_link.mode = LinkMode.ONE_WAY
                await asyncio.sleep(fault.lasts)
                node.peers_link.mode = LinkMode.OPEN
            case FaultKind.LINK_SILENT:
                node.peers_link.silence()
            case FaultKind.PUBLISH:
                self.fleet.publish()
            case _:
                await self._inject_outside(fault, node)

    async def _inject_outside(self, fault: Fault, node: Node) -> None:
        """Disturb the upstream or the store."""
        switches = self.fleet.store.switches
        match fault.kind:
            case FaultKind.UPSTREAM_LINK_RESET:
                node.upstream_link.reset()
            case FaultKind.UPSTREAM_SLOW:
                upstream, usual = node.upstream, node.upstream.work_seconds
                upstream.work_seconds = SLOW_SECONDS
                await asyncio.sleep(fault.lasts)
                upstream.work_seconds = min(usual, SLOW_SECONDS)
            case FaultKind.UPSTREAM_FAULTY:
                node.upstream.plan(FAULTY)
            case FaultKind.UPSTREAM_CRASH:
                await self.fleet.replace_upstream(node)
            case FaultKind.UPSTREAM_LEAVE:
                await self._leave(node)
            case FaultKind.STORE_REFUSES:
                switches.refuse = True
                await asyncio.sleep(fault.lasts)
                switches.refuse = False
            case FaultKind.STORE_SILENT:
                switches.silent = True
                await asyncio.sleep(fault.lasts)
                switches.silent = False
            case FaultKind.STORE_FORGETS:
                self.fleet.store.compact("keyed.op")
            case FaultKind.STORE_LINK_RESET:
                node.store_link.reset()

    async def _stop(self, node: Node) -> None:
        """Send SIGTERM, and SIGKILL after the grace time."""
        if not node.runs or node.stopping:
            return
        node.stopping = True
        begun = time.monotonic()
        process = node.process
        node.signal(signal.SIGTERM)
        while node.process is process and node.runs and time.monotonic() < begun + GRACE_SECONDS:
            await asyncio.sleep(SIGTERM_CHECK_SECONDS)
        if node.process is process:
            node.signal(signal.SIGKILL)
        self.history.terms.append((node.number, begun, time.monotonic()))

    async def _leave(self, node: Node) -> None:
        """Let the upstream leave as it announces; a new one follows."""
        upstream = node.upstream
        body = b'{"born":%d}' % upstream.born
        try:
            status = await upstream.tell(Address(node.addresses["heartbeats"]), "leave", body)
        except ExchangeError:
            # Without a confirmation nothing is promised.
            return
        confirmed = time.monotonic()
        await asyncio.sleep(AFTER_SECONDS)
        if node.upstream is upstream:
            await self.fleet.replace_upstream(node)
        if status == 200:
            row = Left(upstream.name, confirmed, tuple(upstream.run_times))
            self.history.left.append(row)
