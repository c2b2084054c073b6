"""A daemon that relays calls on the users' platform: its tasks, its life cycle."""

import asyncio
import random
import signal
import time
import traceback
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, fields, replace
from functools import partial
from pathlib import Path
from typing import Any, Protocol

from agatecross_adapters.header_names import HeaderNames
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_adapters.protocols import FleetStore, RequestHandler
from agatecross_core.calls.model import Request, Response
from agatecross_core.errors import SettingsError
from agatecross_core.ids import Address, Incarnation, Millis
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.heartbeat_filter import HeartbeatFilter
from agatecross_core.relay.budget import FleetRetryBudget
from agatecross_core.relay.drain import LAST_REQUEST_TIME, plan_drain
from agatecross_core.routing.host_table import HostTable
from agatecross_core.routing.lowest_cost import LowestCostBalancer

from .decision_log import DecisionLog
from .direct_mailbox import DirectMailbox
from .mailbox import Sender, monotonic
from .process_signals import Action, ProcessSignals
from .relay_messages import DrainPlanned, HeartbeatReceived, LeaveReceived
from .relay_metrics import RelayMetrics
from .sidecar_settings import SidecarSettings
from .tasks.entry_task import EntryMessage, EntryTask
from .tasks.exit_task import ExitMessage, ExitTask
from .tasks.peers_task import PeersMessage, PeersTask
from .tasks.source_task import SourceMessage, SourceTask

# For callers and peers to read their last answers and close. It passes twice after the drain, for
# callers and for the other listeners, within the drain's EXIT_MARGIN.
FINISH_TIME = Millis(300)
DRAIN_POLL_SECONDS = 0.02
RELOADABLE = frozenset(("store", "retries", "grace"))


class FrontEnd(Protocol):
    """What a platform brings: its store, header names, and its decoders."""

    names: HeaderNames

    @property
    def store(self) -> FleetStore:
        """Return the platform's store."""
        ...

    def decode_config(self, data: bytes, /) -> HostTable:
        """Return the compiled configuration; raises `MessageDecodeError`."""
        ...

    def store_moved(self, address: Address) -> None:
        """Use the store at another address from the next call on."""
        ...

    def heartbeats(self, sender: "Sender[HeartbeatReceived | LeaveReceived]") -> RequestHandler:
        """Return the handler of what an upstream says to the daemon next to it."""
        ...

    def is_ready_check(self, request: Request) -> bool:
        """Return whether a request asks if the daemon is ready."""
        ...


@dataclass(slots=True)
class Sidecar:
    """The tasks of one daemon."""

    settings: SidecarSettings
    front_end: FrontEnd
    entry: EntryTask
    exit: ExitTask
    peers: PeersTask
    source: SourceTask
    log: DecisionLog
    metrics: RelayMetrics
    entry_box: DirectMailbox[EntryMessage]
    exit_box: DirectMailbox[ExitMessage]
    listeners: list[TornadoHttpListener] = field(default_factory=list)
    leaving: bool = False

    @property
    def tasks(self) -> tuple[ExitTask, PeersTask, SourceTask]:
        """Return the tasks that run until they are cancelled."""
        return (self.exit, self.peers, self.source)

    async def start(self) -> None:
        """Open every listener."""
        settings = self.settings
        await self.peers.start()
        await self.entry.start()
        heartbeats = self.front_end.heartbeats(self.exit_box)
        handlers = {
            settings.heartbeats: heartbeats,
            settings.ready: self._ready,
            settings.metrics: self._metrics,
        }
        for address, handler in handlers.items():
            listener = TornadoHttpListener()
            listener.listen(address, handler)
            self.listeners.append(listener)

    def reload(self, read: Callable[[], SidecarSettings]) -> None:
        """Take the settings that can change while calls run; name those that need a restart."""
        try:
            settings = read()
        except (SettingsError, OSError) as error:
            self.log.change("settings_rejected", reason=str(error))
            return
        rows = [field.name for field in fields(settings)]
        changed = {name for name in rows if getattr(settings, name) != getattr(self.settings, name)}
        if "store" in changed:
            self.front_end.store_moved(settings.store)
        if "retries" in changed:
            self.entry.reset_budgets(budget_factory(settings))
        taken = {name: getattr(settings, name) for name in RELOADABLE}
        self.settings = replace(self.settings, **taken)
        self.log.change(
            "settings_reloaded",
            changed=",".join(sorted(changed)),
            restart_needed=",".join(sorted(changed - RELOADABLE)),
        )

    async def close(self) -> None:
        """Close every listener; wait `FINISH_TIME` at most for the answers that are due."""
        self.entry.listener.close()
        closing = {asyncio.ensure_future(listener.close()) for listener in self.listeners}
        if closing:
            await asyncio.wait(closing, timeout=FINISH_TIME / 1000)
        for task in closing:
            task.cancel()
        await asyncio.gather(*closing, return_exceptions=True)

    async def drain(self) -> None:
        """Move callers away, finish every call, and deliver its answer."""
        begun = monotonic()
        plan = plan_drain(begun, self.settings.grace)
        self.leaving = True
        await asyncio.sleep((plan.leave_at - begun) / 1000)
        # Until now the upstream still served calls of other daemons.
        listener = self.entry.listener
        plan = plan.with_open_calls(max(listener.latest_deadline, self.exit.latest_deadline))
        self.entry_box.put(DrainPlanned(plan))
        listener.close_after_responses()
        self.peers.leave()
        self.exit.leave()
        late = await self._until_finished(plan.leave_known_at, plan.last_accept_at)
        await listener.stop_accepting()
        earliest = Millis(monotonic() + LAST_REQUEST_TIME)
        late = max(late, await self._until_finished(earliest, plan.end))
        self._log_unfinished(begun, late)
        self.exit.refuse_waiting()
        await asyncio.gather(listener.finish(FINISH_TIME), self.peers.finish(FINISH_TIME))

    @property
    def _unfinished(self) -> bool:
        callers, links = self.entry.listener, self.peers.inbound
        return bool(callers.pending or self.exit.pending or callers.unsent or links.unsent)

    async def _until_finished(self, earliest: Millis, latest: Millis) -> float:
        """Wait until nothing is left to do; return the longest delay of the loop in ms."""
        late = 0.0
        while (now := monotonic()) < latest and (now < earliest or self._unfinished):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            late = max(late, monotonic() - now - DRAIN_POLL_SECONDS * 1000)
        return late

    def _log_unfinished(self, begun: Millis, late: float) -> None:
        """Log what the end of the drain cuts; `late` is the longest delay of the loop in ms."""
        callers = self.entry.listener.unfinished()
        self.log.change(
            "drain_ended",
            waited_ms=int(monotonic() - begun),
            waiting=callers.waiting,
            reading=callers.reading,
            unread=callers.unread,
            unsent=callers.unsent,
            handovers=self.exit.pending,
            links_unsent=self.peers.inbound.unsent,
            loop_late_ms=int(late),
        )

    async def _ready(self, request: Request) -> Response:
        if not self.front_end.is_ready_check(request):
            return Response(404, (), b"")
        ready = self.entry.table is not None and not self.leaving
        return Response(200 if ready else 503, (), b"")

    async def _metrics(self, request: Request) -> Response:
        del request
        return Response(200, (("Content-Type", "text/plain; version=0.0.4"),), self.metrics.text())


def build(settings: SidecarSettings, front_end: FrontEnd, log: DecisionLog) -> Sidecar:
    """Create the tasks and join their mailboxes."""
    rng = random.Random(settings.seed)
    metrics = RelayMetrics()
    me = Endpoint(
        settings.daemon_id,
        Incarnation(int(time.time() * 1000)),
        0,
        settings.announced,
        settings.region,
        settings.data_centre,
        settings.service,
    )
    directory = Directory(me)
    entry_box: DirectMailbox[EntryMessage] = DirectMailbox()
    exit_box: DirectMailbox[ExitMessage] = DirectMailbox()
    peers_box: DirectMailbox[PeersMessage] = DirectMailbox()
    source_box: DirectMailbox[SourceMessage] = DirectMailbox()
    entry = EntryTask(
        entry_box,
        settings.service,
        settings.callers,
        front_end.names,
        LowestCostBalancer(settings.region, settings.data_centre, rng),
        budget_factory(settings),
        peers_box,
        rng,
        log,
        metrics,
    )
    exit_task = ExitTask(
        settings.daemon_id,
        exit_box,
        HeartbeatFilter(settings.service, settings.upstream),
        settings.heartbeat_period,
        front_end.names,
        peers_box,
        log,
    )
    peers = PeersTask(
        peers_box,
        settings.peers,
        directory,
        exit_box,
        entry_box,
        source_box,
        rng,
        log,
        metrics,
    )
    source = SourceTask(
        source_box,
        front_end.store,
        front_end.decode_config,
        directory,
        entry_box,
        peers_box,
        exit_box,
        rng,
        log,
        metrics,
    )
    return Sidecar(
        settings, front_end, entry, exit_task, peers, source, log, metrics, entry_box, exit_box
    )


def budget_factory(settings: SidecarSettings) -> Callable[[], FleetRetryBudget]:
    """Return what makes the budget of one service."""
    retries = settings.retries
    return lambda: FleetRetryBudget(retries.ratio, retries.slack, retries.window)


def log_loop_error(log: DecisionLog, context: Mapping[str, Any]) -> None:
    """Log an exception that reached the event loop, which closes the connection it came from."""
    error = context.get("exception")
    trace = traceback.extract_tb(error.__traceback__)[-1:] if error is not None else ()
    place = ",".join(f"{Path(row.filename).name}:{row.lineno}" for row in trace)
    log.change("loop_error", message=context.get("message"), error=repr(error), place=place)


async def serve(
    settings: SidecarSettings,
    front_end: FrontEnd,
    read: Callable[[], SidecarSettings],
    signals: ProcessSignals,
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully.

    SIGHUP takes the settings that `read` returns, which may raise `SettingsError` or `OSError`.
    """
    sidecar = build(settings, front_end, DecisionLog())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: log_loop_error(sidecar.log, context))
    actions: dict[signal.Signals, Action] = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
        signal.SIGHUP: partial(sidecar.reload, read),
    }
    signals.attach(loop, actions)
    if stop.is_set():
        sidecar.log.change("daemon_not_started", daemon=settings.daemon_id, reason="signal")
        sidecar.log.flush()
        return
    await sidecar.start()
    sidecar.log.change(
        "daemon_started", daemon=settings.daemon_id, service=settings.service, peers=settings.peers
    )
    await run_tasks(sidecar, stop)


async def run_tasks(sidecar: Sidecar, stop: asyncio.Event) -> None:
    """Run the tasks until `stop` is set or one fails, drain, and raise what a task raised."""
    running = [asyncio.ensure_future(task.run()) for task in sidecar.tasks]
    stopping = asyncio.ensure_future(stop.wait())
    done, _ = await asyncio.wait([stopping, *running], return_when=asyncio.FIRST_COMPLETED)
    if stopping not in done:
        errors = [repr(task.exception()) for task in running if task in done]
        sidecar.log.change("task_failed", error=",".join(errors))
    # Mailboxes run their owners' handlers, so open calls end as long as the task that failed owns
    # none of their connections.
    sidecar.log.change("daemon_leaving", pending=sidecar.entry.listener.pending)
    await sidecar.drain()
    for task in running:
        task.cancel()
    results = await asyncio.gather(*running, return_exceptions=True)
    await sidecar.close()
    sidecar.log.change("daemon_stopped", daemon=sidecar.settings.daemon_id)
    sidecar.log.flush()
    for result in results:
        if isinstance(result, Exception):
            raise result
