"""A daemon with the project's own interface: its tasks, its life cycle."""

import asyncio
import random
import signal
import time
import uuid
from dataclasses import dataclass, field
from typing import Protocol

from agatecross_adapters.address_map import MappedHttpClient, MappedTransport
from agatecross_adapters.control_nng import NngTransport, TrafficCount
from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_adapters.log_http import HttpLogService
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.admission.policies import new_admission
from agatecross_core.distribution.baselines import FOLLOWERS_BY_NAME
from agatecross_core.distribution.pulls import PullRequest, VersionNotice
from agatecross_core.idempotency.decider import ClaimDecider
from agatecross_core.idempotency.model import OutcomeRequest
from agatecross_core.ids import ClaimId, Incarnation
from agatecross_core.members.records import IndirectProbe, Member, Probe, SyncRequest
from agatecross_core.members.swim import Swim
from agatecross_core.quarantine.gate import TrialGate
from agatecross_core.quarantine.model import StrikeNotice
from agatecross_core.routing.balancers import new_balancer
from agatecross_core.routing.model import DaemonLocation
from agatecross_core.states import MemberState

from .events import log_event, log_warning
from .mailbox import Mailbox, Sender
from .messages import Leaving
from .process_signals import Action, ProcessSignals
from .settings import Settings
from .tasks.admin_task import AdminMessage, AdminTask
from .tasks.call_driver import CallDriver
from .tasks.call_task import CallMessage, CallTask
from .tasks.claims_task import ClaimsMessage, ClaimsTask
from .tasks.config_task import ConfigMessage, ConfigTask
from .tasks.control_task import ControlAsk, ControlTask, ReceivedAsk
from .tasks.members_task import MembersMessage, MembersTask
from .tasks.quarantine_driver import QuarantineDriver
from .tasks.upstream_task import UpstreamMessage, UpstreamTask
from .telemetry import Telemetry

# Peers stop sending within this time after the leaving state was pushed to them.
LEAVE_GRACE_SECONDS = 2.0
# Calls that wait for a task that failed never end; the others have this time.
FAILED_DRAIN_SECONDS = 10.0


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


@dataclass(frozen=True, slots=True)
class Tasks:
    """The tasks of one daemon, joined by their mailboxes."""

    control: ControlTask
    members: MembersTask
    config: ConfigTask
    upstream: UpstreamTask
    call: CallTask
    claims: ClaimsTask
    admin: AdminTask

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
        )


def own_record(settings: Settings) -> Member:
    """Return this daemon's member record; the wall clock orders its restarts."""
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
    """Create the tasks and join their mailboxes."""
    me = own_record(settings)
    rng = random.Random(settings.seed)
    transport = NngTransport()
    _observe_traffic(telemetry, transport.traffic)
    control = MappedTransport(transport, settings.address_map)
    log = HttpLogService(settings.log_address, TornadoHttpClient())
    peers = MappedHttpClient(TornadoHttpClient(), settings.address_map)
    boxes = Mailboxes()
    position = DaemonLocation(settings.daemon_id, settings.region, settings.data_centre)
    balancer = new_balancer(settings.balancing, position, rng)
    driver = CallDriver(
        settings.daemon_id, balancer, telemetry.client(peers, "peer"), boxes.upstream
    )
    return Tasks(
        ControlTask(boxes.control, settings.control_address, control, _receivers(boxes)),
        MembersTask(
            boxes.members,
            Swim(me, rng),
            boxes.control,
            log,
            (boxes.config, boxes.call, boxes.admin),
            boxes.config,
            (boxes.call,),
        ),
        ConfigTask(
            boxes.config,
            FOLLOWERS_BY_NAME[settings.distribution](me, decode_toml, rng),
            boxes.control,
            log,
            (boxes.members, boxes.call, boxes.admin, boxes.upstream),
        ),
        UpstreamTask(
            boxes.upstream,
            settings.peer_address,
            settings.data_centre,
            telemetry.listener(TornadoHttpListener(), "peers"),
            telemetry.client(TornadoHttpClient(), "upstream"),
            boxes.members,
            new_admission(settings.admission),
            TrialGate(settings.daemon_id),
            boxes.call,
        ),
        CallTask(
            boxes.call,
            settings.call_address,
            settings.data_centre,
            telemetry.listener(TornadoHttpListener(), "callers"),
            balancer,
            driver,
            boxes.claims,
            QuarantineDriver(me, boxes.members, boxes.control, boxes.upstream),
        ),
        ClaimsTask(
            boxes.claims,
            ClaimDecider(settings.daemon_id, settings.control_address, _new_claim_id, rng),
            boxes.control,
            log,
        ),
        AdminTask(
            boxes.admin,
            settings.admin_address,
            me,
            TornadoHttpListener(),
            boxes.upstream,
            transport.traffic,
            boxes.call,
            telemetry.collect,
        ),
    )


def _observe_traffic(telemetry: Telemetry, traffic: TrafficCount) -> None:
    name, what = "agatecross.control", "Payload of control messages"
    telemetry.observe(f"{name}.sent", "By", f"{what} sent.", lambda: traffic.sent_bytes)
    telemetry.observe(f"{name}.received", "By", f"{what} received.", lambda: traffic.received_bytes)
    telemetry.observe(f"{name}.dials", "{dial}", "Control connections.", lambda: traffic.dials)


def _receivers(boxes: Mailboxes) -> dict[type, Sender[ReceivedAsk]]:
    return {
        Probe: boxes.members,
        IndirectProbe: boxes.members,
        SyncRequest: boxes.members,
        VersionNotice: boxes.config,
        PullRequest: boxes.config,
        OutcomeRequest: boxes.claims,
        StrikeNotice: boxes.call,
    }


def _new_claim_id() -> ClaimId:
    # Not from the seeded generator: a restarted daemon must not repeat the ids of its claims.
    return ClaimId(uuid.uuid4().hex)


async def serve(settings: Settings, signals: ProcessSignals) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully."""
    stop = asyncio.Event()
    actions: dict[signal.Signals, Action] = {signal.SIGTERM: stop.set, signal.SIGINT: stop.set}
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
    """Run the tasks until `stop` is set or one fails, then shut down; raises what a task raised."""
    running = [asyncio.ensure_future(task.run()) for task in tasks.all()]
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait([stopping, *running], return_when=asyncio.FIRST_COMPLETED)
    draining = asyncio.ensure_future(shut_down(tasks))
    done, _ = await asyncio.wait([draining, *running], return_when=asyncio.FIRST_COMPLETED)
    if draining not in done:
        log_warning("task_failed", reason=",".join(repr(task.exception()) for task in done))
        await asyncio.wait([draining], timeout=FAILED_DRAIN_SECONDS)
    ending = [stopping, draining, *running]
    for task in ending:
        task.cancel()
    results = await asyncio.gather(*ending, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result


async def shut_down(tasks: Tasks) -> None:
    """Tell the peers and the callers, then wait until no call is in flight."""
    log_event("daemon_leaving")
    leaving = Leaving()
    tasks.members.mailbox.put(leaving)
    tasks.admin.mailbox.put(leaving)
    tasks.call.mailbox.put(leaving)
    await asyncio.sleep(LEAVE_GRACE_SECONDS)
    tasks.upstream.mailbox.put(leaving)
    await tasks.call.drained()
    await tasks.upstream.drained()
    await tasks.admin.drained()
