"""The daemon that relays calls on the users' platform: its tasks and life cycle."""

import asyncio
import random
import signal
import time
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace
from functools import partial

from agatecross_adapters.connection_guard import ConnectionGuard
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_core.admission.connection_budget import Place
from agatecross_core.calls.model import Request, Response
from agatecross_core.errors import SettingsError
from agatecross_core.ids import Address, Incarnation, Millis
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.members.heartbeat_filter import HeartbeatFilter
from agatecross_core.pauses import PauseClock
from agatecross_core.relay.budget import FleetRetryBudget
from agatecross_core.relay.drain import LAST_REQUEST_TIME, plan_drain
from agatecross_core.routing.lowest_cost import LowestCostBalancer

from .client_limits import build_guard
from .customer_view import metrics_response
from .decision_log import DecisionLog
from .direct_mailbox import DirectMailbox
from .front_end import FrontEnd
from .loop_errors import log_loop_error
from .mailbox import FanOut, boottime_ms, monotonic_ms
from .process_signals import ProcessSignals, SignalAction
from .relay_messages import DrainPlanned
from .relay_metrics import RelayMetrics
from .sidecar_settings import SidecarSettings
from .store_messages import StoreMoved
from .tasks.entry_task import EntryMessage, EntryTask
from .tasks.exit_task import ExitMessage, ExitTask
from .tasks.limits_task import LimitsMessage, LimitsTask
from .tasks.peers_task import PeersMessage, PeersTask
from .tasks.store_task import StoreMessage, StoreTask
from .upstream_reports import UpstreamReports

# Time for callers and peers to read their last responses and close. It elapses at most twice after
# the drain, once for callers and peers together and once for the other listeners; both fit into
# the drain's EXIT_MARGIN.
CLOSE_TIMEOUT_MS = Millis(300)
DRAIN_POLL_SECONDS = 0.02
RELOADABLE_SETTINGS = frozenset(("store", "retries", "grace"))


@dataclass(slots=True)
class Sidecar:
    """The tasks of one daemon."""

    settings: SidecarSettings
    front_end: FrontEnd
    entry: EntryTask
    exit: ExitTask
    peers: PeersTask
    store: StoreTask
    limits: LimitsTask
    log: DecisionLog
    metrics: RelayMetrics
    entry_mailbox: DirectMailbox[EntryMessage]
    exit_mailbox: DirectMailbox[ExitMessage]
    store_mailbox: DirectMailbox[StoreMessage]
    guard: ConnectionGuard
    listeners: list[TornadoHttpListener] = field(default_factory=list)
    leaving: bool = False

    @property
    def tasks(self) -> tuple[ExitTask, PeersTask, StoreTask, LimitsTask]:
        """Return the tasks that run until cancelled."""
        return (self.exit, self.peers, self.store, self.limits)

    async def start(self) -> None:
        """Open every listener."""
        settings = self.settings
        await self.peers.start()
        await self.entry.start()
        heartbeat_handler = self.front_end.create_heartbeat_handler(self.exit_mailbox)
        handlers = {
            settings.heartbeats: (Place.HEARTBEATS, heartbeat_handler),
            settings.ready: (Place.READY, self._handle_ready),
            settings.metrics: (Place.METRICS, self._handle_metrics),
        }
        for address, (place, handler) in handlers.items():
            listener = TornadoHttpListener(place=place, guard=self.guard)
            listener.listen(address, handler)
            self.listeners.append(listener)

    def reload(self, read_settings: Callable[[], SidecarSettings]) -> None:
        """Apply the settings that can change at run time; log those that need a restart."""
        try:
            settings = read_settings()
        except (SettingsError, OSError) as error:
            self.log.write_change("settings_rejected", reason=str(error))
            return
        names = [field.name for field in fields(settings)]
        changed = {
            name for name in names if getattr(settings, name) != getattr(self.settings, name)
        }
        if "store" in changed:
            self.front_end.set_store_address(settings.store)
            self.store_mailbox.put(StoreMoved())
        if "retries" in changed:
            self.entry.reset_budgets(budget_factory(settings))
        new_values = {name: getattr(settings, name) for name in RELOADABLE_SETTINGS}
        self.settings = replace(self.settings, **new_values)
        self.log.write_change(
            "settings_reloaded",
            changed=",".join(sorted(changed)),
            restart_needed=",".join(sorted(changed - RELOADABLE_SETTINGS)),
        )

    async def close(self) -> None:
        """Close every listener; wait at most `CLOSE_TIMEOUT_MS` for outstanding responses."""
        self.entry.listener.close()
        close_tasks = {asyncio.ensure_future(listener.close()) for listener in self.listeners}
        if close_tasks:
            await asyncio.wait(close_tasks, timeout=CLOSE_TIMEOUT_MS / 1000)
        for task in close_tasks:
            task.cancel()
        await asyncio.gather(*close_tasks, return_exceptions=True)

    async def drain(self) -> None:
        """Let callers move to other daemons, then finish every call and deliver its response."""
        started_at = monotonic_ms()
        plan = plan_drain(started_at, self.settings.grace)
        self.leaving = True
        await asyncio.sleep((plan.leave_at - started_at) / 1000)
        # The upstream took new calls of peers until now, so the latest deadlines were not known
        # earlier.
        listener = self.entry.listener
        plan = plan.with_open_calls(max(listener.latest_deadline, self.exit.latest_deadline))
        self.entry_mailbox.put(DrainPlanned(plan))
        listener.close_after_responses()
        self.peers.leave()
        self.exit.leave()
        max_loop_delay = await self._wait_until_finished(plan.leave_known_at, plan.last_accept_at)
        await listener.stop_accepting()
        earliest = Millis(monotonic_ms() + LAST_REQUEST_TIME)
        max_loop_delay = max(max_loop_delay, await self._wait_until_finished(earliest, plan.end))
        self.limits.leave()
        self._log_drain_end(started_at, max_loop_delay)
        self.exit.refuse_waiting_calls()
        await asyncio.gather(listener.finish(CLOSE_TIMEOUT_MS), self.peers.finish(CLOSE_TIMEOUT_MS))

    @property
    def _has_unfinished_work(self) -> bool:
        callers, links = self.entry.listener, self.peers.inbound
        return bool(callers.pending or self.exit.pending or callers.unsent or links.unsent)

    async def _wait_until_finished(self, earliest: Millis, latest: Millis) -> float:
        """Wait until no work is left; return the longest event loop delay in milliseconds.

        Waits at least until `earliest` and at most until `latest`.
        """
        max_loop_delay = 0.0
        while (now := monotonic_ms()) < latest and (now < earliest or self._has_unfinished_work):
            await asyncio.sleep(DRAIN_POLL_SECONDS)
            max_loop_delay = max(max_loop_delay, monotonic_ms() - now - DRAIN_POLL_SECONDS * 1000)
        return max_loop_delay

    def _log_drain_end(self, started_at: Millis, max_loop_delay: float) -> None:
        """Log the work that the end of the drain cuts off; `max_loop_delay` is in milliseconds."""
        callers = self.entry.listener.unfinished_work()
        self.log.write_change(
            "drain_ended",
            drain_ms=int(monotonic_ms() - started_at),
            waiting=callers.waiting,
            reading=callers.reading,
            unread=callers.unread,
            unsent=callers.unsent,
            handovers=self.exit.pending,
            link_bytes_unsent=self.peers.inbound.unsent,
            max_loop_delay_ms=int(max_loop_delay),
        )

    async def _handle_ready(self, request: Request) -> Response:
        if not self.front_end.is_readiness_check(request):
            return Response(404, (), b"")
        ready = self.entry.table is not None and not self.leaving
        return Response(200 if ready else 503, (), b"")

    async def _handle_metrics(self, request: Request) -> Response:
        return metrics_response(request.path, self.limits.gate, self.metrics, monotonic_ms())


def build_sidecar(settings: SidecarSettings, front_end: FrontEnd, log: DecisionLog) -> Sidecar:
    """Create the tasks and connect their mailboxes."""
    rng = random.Random(settings.seed)
    metrics = RelayMetrics()
    front_end.report_silent_connections(partial(report_silent_store_connection, log, metrics))
    own_endpoint = Endpoint(
        settings.daemon_id,
        Incarnation(int(time.time() * 1000)),
        0,
        settings.announced,
        settings.region,
        settings.data_centre,
        settings.service,
        link_rate=settings.link_rate,
    )
    directory = Directory(own_endpoint)
    guard = build_guard(settings.limits, metrics.count_shed, log.write_change)
    entry_mailbox: DirectMailbox[EntryMessage] = DirectMailbox()
    exit_mailbox: DirectMailbox[ExitMessage] = DirectMailbox()
    peers_mailbox: DirectMailbox[PeersMessage] = DirectMailbox()
    store_mailbox: DirectMailbox[StoreMessage] = DirectMailbox()
    limits_mailbox: DirectMailbox[LimitsMessage] = DirectMailbox()
    limits = LimitsTask(
        limits_mailbox,
        settings.daemon_id,
        peers_mailbox,
        rng,
        log.write_change,
        metrics.limited_customers.set,
    )
    # Ticked by the exit task, which runs for as long as the daemon.
    pauses = PauseClock(boottime_ms())
    entry = EntryTask(
        entry_mailbox,
        settings.service,
        settings.callers,
        front_end.names,
        LowestCostBalancer(settings.region, settings.data_centre, rng),
        budget_factory(settings),
        peers_mailbox,
        limits,
        pauses,
        rng,
        log,
        metrics,
        guard,
    )
    exit_task = ExitTask(
        settings.daemon_id,
        exit_mailbox,
        HeartbeatFilter(settings.service, settings.upstream),
        settings.heartbeat_period,
        front_end.names,
        peers_mailbox,
        pauses,
        log,
        UpstreamReports(log.write_change, metrics),
    )
    peers = PeersTask(
        peers_mailbox,
        settings.peers,
        directory,
        exit_mailbox,
        entry_mailbox,
        store_mailbox,
        limits_mailbox,
        rng,
        log,
        metrics,
        guard,
    )
    store = StoreTask(
        store_mailbox,
        front_end.store,
        front_end.decode_config,
        settings.apply_within,
        directory,
        FanOut((limits_mailbox, entry_mailbox)),
        peers_mailbox,
        exit_mailbox,
        rng,
        log,
        metrics,
    )
    return Sidecar(
        settings,
        front_end,
        entry,
        exit_task,
        peers,
        store,
        limits,
        log,
        metrics,
        entry_mailbox,
        exit_mailbox,
        store_mailbox,
        guard,
    )


def report_silent_store_connection(
    log: DecisionLog, metrics: RelayMetrics, address: Address, idle_time: Millis
) -> None:
    """Log and count a silent connection to the store."""
    metrics.silent_connections.labels("store").inc()
    log.write_change("store_connection_silent", store=address, idle_ms=int(idle_time))


def budget_factory(settings: SidecarSettings) -> Callable[[], FleetRetryBudget]:
    """Return a factory for the retry budget of one service."""
    retries = settings.retries
    return lambda: FleetRetryBudget(retries.ratio, retries.slack, retries.window)


async def serve(
    settings: SidecarSettings,
    front_end: FrontEnd,
    read_settings: Callable[[], SidecarSettings],
    signals: ProcessSignals,
) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully.

    SIGHUP reloads the settings through `read_settings`, which may raise `SettingsError` or
    `OSError`.
    """
    sidecar = build_sidecar(settings, front_end, DecisionLog())
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: log_loop_error(sidecar.log, context))
    actions: dict[signal.Signals, SignalAction] = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
        signal.SIGHUP: partial(sidecar.reload, read_settings),
    }
    signals.attach(loop, actions)
    if stop.is_set():
        sidecar.log.write_change("daemon_not_started", daemon=settings.daemon_id, reason="signal")
        sidecar.log.flush()
        return
    await sidecar.start()
    sidecar.log.write_change(
        "daemon_started", daemon=settings.daemon_id, service=settings.service, peers=settings.peers
    )
    await run_tasks(sidecar, stop)


async def run_tasks(sidecar: Sidecar, stop: asyncio.Event) -> None:
    """Run the tasks until `stop` is set or one fails, then drain; re-raises a task's exception."""
    running = [asyncio.ensure_future(task.run()) for task in sidecar.tasks]
    stopping = asyncio.ensure_future(stop.wait())
    done, _ = await asyncio.wait([stopping, *running], return_when=asyncio.FIRST_COMPLETED)
    if stopping not in done:
        errors = [repr(task.exception()) for task in running if task in done]
        sidecar.log.write_change("task_failed", error=",".join(errors))
    # A direct mailbox calls its owner's handler in the sender's task, so open calls still end as
    # long as the failed task owns none of their connections.
    sidecar.log.write_change("daemon_leaving", pending=sidecar.entry.listener.pending)
    await sidecar.drain()
    for task in running:
        task.cancel()
    results = await asyncio.gather(*running, return_exceptions=True)
    await sidecar.close()
    sidecar.log.write_change("daemon_stopped", daemon=sidecar.settings.daemon_id)
    sidecar.log.flush()
    for result in results:
        if isinstance(result, Exception):
            raise result
