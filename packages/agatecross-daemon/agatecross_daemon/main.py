"""Entry point of `agatecrossd`."""

import asyncio
import random
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Protocol

from absl import app, flags, logging

from agatecross_adapters.control_nng import NngTransport
from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_adapters.log_http import HttpLogService
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.distribution.baselines import FullCopyFollower, LogOnlyFollower
from agatecross_core.distribution.follower import ConfigFollower
from agatecross_core.distribution.sync import PullRequest, VersionNotice
from agatecross_core.errors import SettingsError
from agatecross_core.ids import Incarnation
from agatecross_core.members.records import IndirectProbe, Member, Probe, SyncRequest
from agatecross_core.members.swim import Swim
from agatecross_core.routing.model import Position
from agatecross_core.routing.router import AdaptiveBalancer
from agatecross_core.states import MemberState

from .events import log_event
from .mailbox import Mailbox, Sender
from .messages import Leaving
from .settings import Settings, load_settings
from .tasks.admin_task import AdminMessage, AdminTask
from .tasks.call_driver import CallDriver
from .tasks.call_task import CallMessage, CallTask
from .tasks.config_task import ConfigMessage, ConfigTask
from .tasks.control_task import ControlAsk, ControlTask, ReceivedAsk
from .tasks.members_task import MembersMessage, MembersTask
from .tasks.upstream_task import UpstreamMessage, UpstreamTask

SETTINGS = flags.DEFINE_string("settings", None, "Path of the settings file (TOML).", required=True)

# Peers stop sending within this time after the leaving state was pushed to them.
LEAVE_GRACE_SECONDS = 2.0
EXIT_SETTINGS = 2
FOLLOWERS: Mapping[str, type[ConfigFollower]] = {
    "peers": ConfigFollower,
    "log": LogOnlyFollower,
    "full": FullCopyFollower,
}


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
    admin: Mailbox[AdminMessage] = field(default_factory=Mailbox)


@dataclass(frozen=True, slots=True)
class Tasks:
    """The tasks of one daemon, joined by their mailboxes."""

    control: ControlTask
    members: MembersTask
    config: ConfigTask
    upstream: UpstreamTask
    call: CallTask
    admin: AdminTask

    def all(self) -> tuple[Task, ...]:
        """Return every task."""
        return (
            self.control,
            self.members,
            self.config,
            self.upstream,
            self.call,
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


def build_tasks(settings: Settings) -> Tasks:
    """Create the tasks and join their mailboxes."""
    me = own_record(settings)
    rng = random.Random(settings.seed)
    transport = NngTransport()
    log = HttpLogService(settings.log_address, TornadoHttpClient())
    boxes = Mailboxes()
    position = Position(settings.daemon_id, settings.region, settings.data_centre)
    balancer = AdaptiveBalancer(position, rng)
    driver = CallDriver(settings.daemon_id, balancer, TornadoHttpClient(), boxes.upstream)
    return Tasks(
        ControlTask(boxes.control, settings.control_address, transport, _receivers(boxes)),
        MembersTask(
            boxes.members,
            Swim(me, rng),
            boxes.control,
            log,
            (boxes.config, boxes.call, boxes.admin),
            boxes.config,
        ),
        ConfigTask(
            boxes.config,
            FOLLOWERS.get(settings.distribution, ConfigFollower)(me, decode_toml, rng),
            boxes.control,
            log,
            (boxes.members, boxes.call, boxes.admin),
        ),
        UpstreamTask(
            boxes.upstream,
            settings.peer_address,
            TornadoHttpListener(),
            TornadoHttpClient(),
            boxes.members,
        ),
        CallTask(
            boxes.call,
            settings.call_address,
            settings.data_centre,
            TornadoHttpListener(),
            balancer,
            driver,
        ),
        AdminTask(
            boxes.admin,
            settings.admin_address,
            me,
            TornadoHttpListener(),
            boxes.upstream,
            transport.traffic,
        ),
    )


def _receivers(boxes: Mailboxes) -> dict[type, Sender[ReceivedAsk]]:
    return {
        Probe: boxes.members,
        IndirectProbe: boxes.members,
        SyncRequest: boxes.members,
        VersionNotice: boxes.config,
        PullRequest: boxes.config,
    }


async def serve(settings: Settings) -> None:
    """Run the daemon until SIGTERM or SIGINT, then shut down gracefully."""
    tasks = build_tasks(settings)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    running = [asyncio.ensure_future(task.run()) for task in tasks.all()]
    log_event("daemon_started", daemon=settings.daemon_id, call=settings.call_address)
    stopping = asyncio.ensure_future(stop.wait())
    done, _ = await asyncio.wait([stopping, *running], return_when=asyncio.FIRST_COMPLETED)
    if stopping in done:
        await shut_down(tasks)
    for task in running:
        task.cancel()
    results = await asyncio.gather(*running, return_exceptions=True)
    for result in results:
        if isinstance(result, Exception):
            raise result
    log_event("daemon_stopped", daemon=settings.daemon_id)


async def shut_down(tasks: Tasks) -> None:
    """Tell the peers, then wait until no call is in flight."""
    log_event("daemon_leaving")
    leaving = Leaving()
    tasks.members.mailbox.put(leaving)
    tasks.admin.mailbox.put(leaving)
    await asyncio.sleep(LEAVE_GRACE_SECONDS)
    tasks.call.mailbox.put(leaving)
    tasks.upstream.mailbox.put(leaving)
    await tasks.call.drained()
    await tasks.upstream.drained()


def main(argv: Sequence[str]) -> None:
    """Load the settings and serve."""
    if len(argv) > 1:
        raise app.UsageError("agatecrossd takes no arguments")
    logging.set_verbosity(logging.INFO)
    try:
        settings = load_settings(Path(SETTINGS.value))
    except (SettingsError, OSError) as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    asyncio.run(serve(settings))


def run() -> None:
    """Run the binary."""
    app.run(main)
