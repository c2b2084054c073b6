"""The daemon with the project's own interface: its tasks and life cycle."""

import asyncio
import random
import secrets
import signal
import time
import uuid
from dataclasses import dataclass, field
from typing import Protocol

from agatecross_adapters.address_map import MappedHttpClient, MappedTransport
from agatecross_adapters.control_nng import NngTransport, TrafficCounters
from agatecross_adapters.http_client import BodyTimeouts, TornadoHttpClient
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_adapters.log_http import HttpLogService
from agatecross_adapters.port_check import TcpEndCheck
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.admission.connection_budget import Place
from agatecross_core.admission.policies import new_admission
from agatecross_core.customers.keys import SECRET_BYTES, KeyHasher
from agatecross_core.distribution.baselines import FOLLOWERS_BY_NAME
from agatecross_core.distribution.pulls import PullRequest, VersionNotice
from agatecross_core.idempotency.decider import ClaimDecider
from agatecross_core.idempotency.model import OutcomeRequest
from agatecross_core.ids import ClaimId, Incarnation, Millis
from agatecross_core.limits.requests import UseRequest
from agatecross_core.members.records import IndirectProbe, Member, Probe, SyncRequest
from agatecross_core.members.swim import Swim
from agatecross_core.quarantine.gate import TrialGate
from agatecross_core.quarantine.model import StrikeNotice
from agatecross_core.routing.balancers import new_balancer
from agatecross_core.routing.model import DaemonLocation
from agatecross_core.states import MemberState

from .client_limits import build_guard
from .events import log_event, log_warning
from .mailbox import Mailbox, Sender
from .messages import Leaving
from .process_signals import ProcessSignals, SignalAction
from .settings import Settings
from .tasks.admin_task import AdminMessage, AdminTask
from .tasks.call_driver import CallDriver
from .tasks.call_task import CallMessage, CallTask
from .tasks.claims_task import ClaimsMessage, ClaimsTask
from .tasks.config_task import ConfigMessage, ConfigTask
from .tasks.control_task import ControlAsk, ControlTask, ReceivedAsk
from .tasks.fleet_limits_task import FleetLimitsMessage, FleetLimitsTask
from .tasks.members_task import MembersMessage, MembersTask
from .tasks.quarantine_driver import QuarantineDriver
from .tasks.upstream_task import UpstreamMessage, UpstreamTask
from .telemetry import Telemetry

# Peers stop sending calls within this time after the leaving state was pushed to them.
LEAVE_PROPAGATION_SECONDS = 2.0
# A page of the log takes seconds on a slow link; a log service that stops sending is silent.
LOG_BODY_TIMEOUTS = BodyTimeouts(stall=Millis(1_000), total=Millis(20_000))
# Time for open calls to end after a task failed; those that wait for the failed task never end.
TASK_FAILURE_DRAIN_SECONDS = 10.0


class Task(Protocol):
    """A task of the daemon."""

    async def run(self) -> None:
        """Serve until cancelled."""
        ...


@dataclass(frozen=True, slots=True)
class Mailboxes:
    """The mailbox of each task."""

    control: Mailbox[ControlAsk] = field(default_factory=Mailbox)
    members: Mailbox[MembersMessage] = field(default_factory=Mailbox)
    config: Mailbox[ConfigMessage] = field(default_factory=Mailbox)
    upstream: Mailbox[UpstreamMessage] = field(default_factory=Mailbox)
    call: Mailbox[CallMessage] = field(default_factory=Mailbox)
    claims: Mailbox[ClaimsMessage] = field(default_factory=Mailbox)
    admin: Mailbox[AdminMessage] = field(default_factory=Mailbox)
    limits: Mailbox[FleetLimitsMessage] = field(default_factory=Mailbox)


@dataclass(frozen=True, slots=True)
class Tasks:
    """The tasks of one daemon, connected by their mailboxes."""

    control: ControlTask
    members: MembersTask
    config: ConfigTask
    upstream: UpstreamTask
    call: CallTask
    claims: ClaimsTask
    admin: AdminTask
    limits: FleetLimitsTask

    def all(self) -> tuple[Task, ...]:
        """Return every task."""
        return (
            self.control,
            self.members,
            self.config,
            self.upstream,
            self.call,
            self.claims,
            self.admin,
            self.limits,
        )


def new_own_member(settings: Settings) -> Member:
    """Return this daemon's member record.

    The incarnation is the wall clock, so that a restart has a higher one.
    """
    return Member(
        settings.daemon_id,
        Incarnation(int(time.time() * 1000)),
        MemberState.ALIVE,
        settings.region,
        settings.data_centre,
        settings.call_address,
        settings.peer_address,
        settings.control_address,
        settings.admin_address,
    )


def build_tasks(settings: Settings, telemetry: Telemetry) -> Tasks:
    """Create the tasks and connect their mailboxes."""
    own_member = new_own_member(settings)
    rng = random.Random(settings.seed)
    guard = build_guard(settings.limits, telemetry.count_shed, log_warning)
    transport = NngTransport(guard, settings.limits.control_request_bytes)
    _add_traffic_counters(telemetry, transport.traffic)
    control = MappedTransport(transport, settings.address_map)
    log_client = TornadoHttpClient(body_timeouts=LOG_BODY_TIMEOUTS)
    log = HttpLogService(settings.log_address, log_client)
    peers = MappedHttpClient(TornadoHttpClient(), settings.address_map)
    mailboxes = Mailboxes()
    location = DaemonLocation(settings.daemon_id, settings.region, settings.data_centre)
    balancer = new_balancer(settings.balancing, location, rng)
    driver = CallDriver(
        settings.daemon_id, balancer, telemetry.trace_client(peers, "peer"), mailboxes.upstream
    )
    limits = FleetLimitsTask(
        mailboxes.limits,
        settings.daemon_id,
        settings.data_centre,
        mailboxes.control,
        TcpEndCheck(),
        rng,
    )
    _add_limits_metrics(telemetry, limits)
    return Tasks(
        ControlTask(
            mailboxes.control, settings.control_address, control, _receivers_by_type(mailboxes)
        ),
        MembersTask(
            mailboxes.members,
            Swim(own_member, rng),
            mailboxes.control,
            log,
            (mailboxes.config, mailboxes.call, mailboxes.admin, mailboxes.limits),
            mailboxes.config,
            (mailboxes.call,),
        ),
        ConfigTask(
            mailboxes.config,
            FOLLOWERS_BY_NAME[settings.distribution](own_member, decode_toml, rng),
            mailboxes.control,
            log,
            (
                mailboxes.members,
                mailboxes.limits,
                mailboxes.call,
                mailboxes.admin,
                mailboxes.upstream,
            ),
            mailboxes.members,
        ),
        UpstreamTask(
            mailboxes.upstream,
            settings.peer_address,
            settings.data_centre,
            telemetry.trace_listener(TornadoHttpListener(place=Place.PEERS, guard=guard), "peers"),
            telemetry.trace_client(TornadoHttpClient(), "upstream"),
            mailboxes.members,
            new_admission(settings.admission),
            TrialGate(settings.daemon_id),
            mailboxes.call,
        ),
        CallTask(
            mailboxes.call,
            settings.call_address,
            settings.data_centre,
            telemetry.trace_listener(TornadoHttpListener(guard=guard), "callers"),
            balancer,
            driver,
            mailboxes.claims,
            QuarantineDriver(own_member, mailboxes.members, mailboxes.control, mailboxes.upstream),
            KeyHasher(secrets.token_bytes(SECRET_BYTES)),
            limits.limits,
        ),
        ClaimsTask(
            mailboxes.claims,
            ClaimDecider(settings.daemon_id, settings.control_address, _new_claim_id, rng),
            mailboxes.control,
            log,
        ),
        AdminTask(
            mailboxes.admin,
            settings.admin_address,
            own_member,
            TornadoHttpListener(place=Place.ADMIN, guard=guard),
            mailboxes.upstream,
            transport.traffic,
            mailboxes.call,
            telemetry.collect,
            mailboxes.limits,
        ),
        limits,
    )


def _add_traffic_counters(telemetry: Telemetry, traffic: TrafficCounters) -> None:
    name, description = "agatecross.control", "Payload of control messages"
    telemetry.add_counter(f"{name}.sent", "By", f"{description} sent.", lambda: traffic.sent_bytes)
    telemetry.add_counter(
        f"{name}.received", "By", f"{description} received.", lambda: traffic.received_bytes
    )
    telemetry.add_counter(f"{name}.dials", "{dial}", "Control connections.", lambda: traffic.dials)


def _add_limits_metrics(telemetry: Telemetry, limits: FleetLimitsTask) -> None:
    name = "agatecross.customers"
    telemetry.add_counter(
        f"{name}.reports", "{report}", "Reports to homes.", lambda: limits.reports_sent
    )
    telemetry.add_gauge(
        f"{name}.limited",
        "{customer}",
        "Customers beyond their limit, of those whose home this daemon is.",
        limits.observe_limited,
    )
    telemetry.add_gauge(
        f"{name}.rate", "{call}/s", "Calls of the largest customers here.", limits.observe_rates
    )


def _receivers_by_type(mailboxes: Mailboxes) -> dict[type, Sender[ReceivedAsk]]:
    return {
        Probe: mailboxes.members,
        IndirectProbe: mailboxes.members,
        SyncRequest: mailboxes.members,
        VersionNotice: mailboxes.config,
        PullRequest: mailboxes.config,
        OutcomeRequest: mailboxes.claims,
        StrikeNotice: mailboxes.call,
        UseRequest: mailboxes.limits,
    }


def _new_claim_id() -> ClaimId:
    # The seeded generator would repeat the ids of earlier claims after a restart.
    return ClaimId(uuid.uuid4().hex)


async def serve(settings: Settings, signals: ProcessSignals) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully."""
    stop = asyncio.Event()
    actions: dict[signal.Signals, SignalAction] = {
        signal.SIGTERM: stop.set,
        signal.SIGINT: stop.set,
    }
    signals.attach(asyncio.get_running_loop(), actions)
    if stop.is_set():
        log_event("daemon_not_started", daemon=settings.daemon_id, reason="signal")
        return
    telemetry = Telemetry(settings.telemetry, settings.daemon_id, settings.data_centre)
    tasks = build_tasks(settings, telemetry)
    log_event("daemon_started", daemon=settings.daemon_id, call=settings.call_address)
    await run_tasks(tasks, stop)
    telemetry.shut_down()
    log_event("daemon_stopped", daemon=settings.daemon_id)


async def run_tasks(tasks: Tasks, stop: asyncio.Event) -> None:
    """Run the tasks until `stop` is set or one fails, then shut down; re-raises the failure."""
    running = [asyncio.ensure_future(task.run()) for task in tasks.all()]
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait([stopping, *running], return_when=asyncio.FIRST_COMPLETED)
    draining = asyncio.ensure_future(shut_down(tasks))
    done, _ = await asyncio.wait([draining, *running], return_when=asyncio.FIRST_COMPLETED)
    if draining not in done:
        log_warning("task_failed", reason=",".join(repr(task.exception()) for task in done))
        await asyncio.wait([draining], timeout=TASK_FAILURE_DRAIN_SECONDS)
    ending = [stopping, draining, *running]
    for task in ending:
        task.cancel()
    results = await asyncio.gather(*ending, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def shut_down(tasks: Tasks) -> None:
    """Announce the shutdown to peers and callers, then wait until no call is in flight."""
    log_event("daemon_leaving")
    leaving = Leaving()
    tasks.members.mailbox.put(leaving)
    tasks.admin.mailbox.put(leaving)
    tasks.call.mailbox.put(leaving)
    await asyncio.sleep(LEAVE_PROPAGATION_SECONDS)
    tasks.upstream.mailbox.put(leaving)
    await tasks.call.drain()
    tasks.limits.mailbox.put(leaving)
    await tasks.upstream.drain()
    await tasks.admin.drain()
