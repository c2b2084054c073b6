"""Measures the processor time of a daemon's own work: start, links, configurations, choices.

Prints one row for each figure. All ends of the links run in this process over loopback
connections, so the figures of the star hold both ends of each link, divided by the number of
daemons.
"""

import asyncio
import os
import random
import resource
import subprocess
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from itertools import pairwise
from zlib import crc32

import msgspec
from absl import app, flags

from agatecross_adapters.hop_codec import decode_hop_message, encode_hop_message
from agatecross_adapters.hop_messages import ConfigDelta, Endpoints, HopMessage, Ping
from agatecross_core.distribution.delta import make_delta
from agatecross_core.distribution.propagation import ConfigOrigin
from agatecross_core.ids import (
    Address,
    DaemonId,
    DataCentreName,
    Incarnation,
    InstanceId,
    Millis,
    RegionName,
    ServiceName,
    Version,
)
from agatecross_core.members.directory import Directory, Endpoint
from agatecross_core.routing.lowest_cost import LowestCostBalancer
from agatecross_core.states import UpstreamState
from agatecross_daemon.decision_log import DecisionLog
from agatecross_daemon.direct_mailbox import DirectMailbox
from agatecross_daemon.mailbox import Sender
from agatecross_daemon.relay_messages import OwnEndpointChanged
from agatecross_daemon.relay_metrics import RelayMetrics
from agatecross_daemon.sidecar_settings import RetrySettings, SidecarSettings
from agatecross_daemon.store_messages import ConfigSource, EndpointsRead
from agatecross_daemon.tasks.config_holder import ConfigHolder
from agatecross_daemon.tasks.peers_task import PeersMessage, PeersTask
from agatecross_platform.front_end import PlatformFrontEnd

from ..ports import PortPool

DAEMONS = flags.DEFINE_integer("daemons", 80, "Daemons of the star.")
ROUTES = flags.DEFINE_integer("routes", 800, "Routes of the configuration.")
UPSTREAMS = flags.DEFINE_integer("upstreams", 49, "Upstreams of the service that is called.")
REPEATS = flags.DEFINE_integer("repeats", 5, "Runs of each figure; the best one counts.")
START = "import agatecross_daemon.startup, agatecross_platform.front_end, agatecross_daemon.sidecar"
CACHE = "build/pycache"
VERSIONS = 20
CHOICES = 500
MESSAGES = 5_000
IDLE_SECONDS = 5.0
POLL_SECONDS = 0.02
OBJECTIVE = Millis(500)
# On a busy machine, links that stay down for 20 s are given up, and the star stays incomplete.
STAR_TIMEOUT_SECONDS = 120.0
CENTRES = 4


@dataclass(slots=True)
class Sink:
    """Receives the messages for the tasks that this measurement leaves out."""

    count: int = 0

    def put(self, message: object) -> None:
        """Count a message."""
        del message
        self.count += 1


def make_endpoint(number: int, port: int = 1) -> Endpoint:
    """Return the endpoint of one daemon; services and data centres are assigned in rotation."""
    return Endpoint(
        DaemonId(f"side{number}"),
        Incarnation(1_790_000_000_000 + number),
        0,
        Address(f"127.0.0.1:{port}"),
        RegionName(f"region-{number % 2}"),
        DataCentreName(f"centre-{number % CENTRES}"),
        ServiceName("desk" if number % 5 else "hub"),
        InstanceId(f"instance-{number}"),
        1,
        UpstreamState.READY,
        9,
    )


def make_config(routes: int, version: int) -> bytes:
    """Return a configuration record; each version changes one route."""
    rows = [
        {
            "name": f"route-{number}",
            "host": f"host-{number % 40}.example",
            "pathPrefix": f"/part-{number}/",
            "kind": "safe",
            "timeout": f"{1500 + version if number == version % routes else 1500}ms",
            "targetLatency": f"{600 + number % 7}ms",
            "attempts": 2,
            "priority": 2,
            "service": "desk",
        }
        for number in range(routes)
    ]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1048576,
        "headerTimeout": "5s",
        "idleTimeout": "60s",
    }
    record = {"version": f"r{version}", "routes": rows, "services": [], "limits": limits}
    return msgspec.json.encode(record)


def best(measure: Callable[[], float]) -> float:
    """Return the lowest of several results."""
    return min(measure() for _ in range(REPEATS.value))


def start_ms() -> float:
    """Return the processor time of a process that only loads the relaying daemon's modules."""
    # A deployed daemon finds compiled modules.
    command = [sys.executable, "-X", f"pycache_prefix={CACHE}", "-c", START]
    environment = {k: v for k, v in os.environ.items() if k != "PYTHONDONTWRITEBYTECODE"}
    subprocess.run(command, check=True, env=environment)
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run(command, check=True, env=environment)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    return (after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime) * 1000


def make_front_end() -> PlatformFrontEnd:
    """Return a front end whose addresses nobody listens at."""
    address = Address("127.0.0.1:1")
    here = (RegionName("region-0"), DataCentreName("centre-0"))
    retries = RetrySettings(0.1, 10.0, Millis(1_000))
    return PlatformFrontEnd(
        SidecarSettings(
            DaemonId("side0"),
            *here,
            *(address,) * 5,
            ServiceName("desk"),
            address,
            Millis(1_000),
            address,
            retries,
            Millis(10_000),
            address,
            Millis(2_000),
        )
    )


def config_ms() -> float:
    """Return the time of decoding one version of a chain in which each changes one route."""
    front_end = make_front_end()
    chain = [make_config(ROUTES.value, number + 1) for number in range(VERSIONS)]
    before = time.process_time()
    for record in chain:
        front_end.decode_config(record)
    return (time.process_time() - before) * 1000 / VERSIONS


def in_force_ms() -> float:
    """Return the time of putting the delta to one version of such a chain in force."""
    sink = Sink()
    log = DecisionLog(os.open(os.devnull, os.O_WRONLY))
    holder = ConfigHolder(make_front_end().decode_config, sink, sink, log, RelayMetrics())
    source = ConfigSource(ConfigOrigin.REGION, None, Millis(0))
    chain = [make_config(ROUTES.value, number + 1) for number in range(VERSIONS + 1)]
    holder.apply(chain[0], source)
    deltas = [
        ConfigDelta(Version(n), Version(n + 1), crc32(after), make_delta(before, after))
        for n, (before, after) in enumerate(pairwise(chain), 1)
    ]
    before = time.process_time()
    for delta in deltas:
        holder.apply_delta(delta, source)
    assert holder.version == VERSIONS + 1
    return (time.process_time() - before) * 1000 / VERSIONS


def decode_us(message: HopMessage) -> float:
    """Return the time of decoding a message between daemons."""
    frame = encode_hop_message(message)
    before = time.process_time()
    for _ in range(MESSAGES):
        decode_hop_message(frame)
    return (time.process_time() - before) * 1e6 / MESSAGES


def choice_us() -> float:
    """Return the time of one choice of an upstream."""
    rng = random.Random(1)
    balancer = LowestCostBalancer(RegionName("region-0"), DataCentreName("centre-0"), rng)
    endpoints = [make_endpoint(number) for number in range(UPSTREAMS.value)]
    before = time.process_time()
    for number in range(CHOICES):
        chosen = balancer.choose(endpoints, (), "route", OBJECTIVE, Millis(number * 3.0))
        assert chosen is not None
        balancer.record_start(chosen, "route")
    return (time.process_time() - before) * 1e6 / CHOICES


async def star_ms() -> tuple[float, float, float]:
    """Return the times of one daemon in the star: start, a change of its upstream, idle second."""
    rng = random.Random(1)
    log = DecisionLog(os.open(os.devnull, os.O_WRONLY))
    pool = PortPool()
    ports = pool.reserve(DAEMONS.value)
    endpoints = [make_endpoint(number, port) for number, port in enumerate(ports)]
    sink = Sink()
    daemons: list[tuple[PeersTask, Sender[PeersMessage]]] = []
    for endpoint in endpoints:
        mailbox: DirectMailbox[PeersMessage] = DirectMailbox()
        task = PeersTask(
            mailbox,
            endpoint.address,
            Directory(endpoint),
            sink,
            sink,
            sink,
            sink,
            rng,
            log,
            RelayMetrics(),
        )
        task.config_distributor.version = Version(1)
        daemons.append((task, mailbox))
    size = len(daemons)
    before = time.process_time()
    for task, _ in daemons:
        await task.start()
    running = [asyncio.ensure_future(task.run()) for task, _ in daemons]
    for number, (_, peers) in enumerate(daemons):
        # As in a fleet that starts, each daemon reads who announced itself before it.
        peers.put(EndpointsRead(tuple(endpoints[: number + 1])))
        await asyncio.sleep(POLL_SECONDS)
    while any(len(task.open_links) < size - 1 for task, _ in daemons):
        await asyncio.sleep(POLL_SECONDS)
    started = time.process_time()
    await asyncio.sleep(IDLE_SECONDS)
    idle = time.process_time()
    for number, (_, peers) in enumerate(daemons):
        peers.put(OwnEndpointChanged({"slots": 10 + number % 2}))
    while any(row.sequence == 0 for task, _ in daemons for row in task.directory.rows.values()):
        await asyncio.sleep(POLL_SECONDS)
    changed = time.process_time()
    for running_task in running:
        running_task.cancel()
    await asyncio.gather(*running, return_exceptions=True)
    pool.close()
    return (
        (started - before) * 1000 / size,
        (changed - idle) * 1000 / size,
        (idle - started) * 1000 / size / IDLE_SECONDS,
    )


def rows() -> Iterator[tuple[str, float, str]]:
    """Yield each figure with its unit."""
    yield "load the daemon's modules", best(start_ms), "ms"
    yield f"decode a version of {ROUTES.value} routes", best(config_ms), "ms"
    yield f"put a version of {ROUTES.value} routes in force", best(in_force_ms), "ms"
    yield "decode a ping", best(lambda: decode_us(Ping(False, Version(120)))), "us"
    change = Endpoints((make_endpoint(1),))
    yield "decode the endpoint of a peer", best(lambda: decode_us(change)), "us"
    yield f"choose among {UPSTREAMS.value} upstreams", best(choice_us), "us"
    start, changed, idle = asyncio.run(asyncio.wait_for(star_ms(), STAR_TIMEOUT_SECONDS))
    yield f"star of {DAEMONS.value}: start of a daemon", start, "ms"
    yield f"star of {DAEMONS.value}: change of an upstream", changed, "ms"
    yield f"star of {DAEMONS.value}: idle second of a daemon", idle, "ms"


def main(argv: Sequence[str]) -> None:
    """Print every row."""
    del argv
    for what, value, unit in rows():
        print(f"{what:42} {value:9.2f} {unit}", flush=True)


if __name__ == "__main__":
    app.run(main)
