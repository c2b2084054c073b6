"""Measures time and memory of decisions at growing sizes, in one process and without I/O.

Prints one row for each figure and size: microseconds of one operation, or KiB of one state. The
figures are used in docs/CAPACITY.md.
"""

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from absl import app, flags

from agatecross_adapters.codec import decode_control, encode_control
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.compile import compile_documents
from agatecross_core.config.documents import BASE, Document
from agatecross_core.constants import MAX_UPDATES_PER_MESSAGE
from agatecross_core.distribution.readers import readers
from agatecross_core.ids import (
    Address,
    DaemonId,
    DataCentreName,
    Digest,
    DocumentName,
    Incarnation,
    Millis,
    RegionName,
    ServiceName,
    Version,
)
from agatecross_core.members.records import Gossip, Member, SyncReply, UpstreamInfo
from agatecross_core.members.swim import Swim
from agatecross_core.members.view import build_view
from agatecross_core.routing.model import ChoiceRequest, DaemonLocation
from agatecross_core.routing.router import AdaptiveBalancer
from agatecross_core.states import MemberState, UpstreamState

SIZES = flags.DEFINE_list(
    "sizes", ["50", "100", "200", "400", "800", "1300"], "Fleet sizes, in daemons."
)
OUTPUT = flags.DEFINE_string("output", "build/slopes.json", "Path of the JSON results.")

SERVICE_COUNT = 36
DATA_CENTRE_COUNT = 8
REGION_COUNT = 2
REPEATS = 5
SECONDS_PER_REPEAT = 0.1


@dataclass(frozen=True, slots=True)
class Row:
    """One measured figure: what was measured, at which size, the value and its unit."""

    what: str
    size: int
    value: float
    unit: str


def make_member(number: int) -> Member:
    """Return a synthetic member; services and data centres are assigned in rotation."""
    centre = number % DATA_CENTRE_COUNT
    host = f"10.{centre}.{number // 250}.{number % 250}"
    upstream = UpstreamInfo(
        ServiceName(f"service-{number % SERVICE_COUNT}"),
        Address(f"{host}:8080"),
        17,
        120,
        UpstreamState.READY,
    )
    return Member(
        DaemonId(f"dc{centre}-instance-{number}"),
        Incarnation(1_790_000_000_000 + number),
        MemberState.ALIVE,
        RegionName(f"region-{centre % REGION_COUNT}"),
        DataCentreName(f"dc{centre}"),
        Address(f"{host}:7001"),
        Address(f"{host}:7002"),
        Address(f"{host}:7003"),
        Address(f"{host}:7004"),
        upstream,
    )


def measure_micros(operation: Callable[[], object]) -> float:
    """Return the mean time of an operation in microseconds, the best of several repeats."""
    best = float("inf")
    for _ in range(REPEATS):
        count, started = 0, time.perf_counter()
        while time.perf_counter() - started < SECONDS_PER_REPEAT:
            operation()
            count += 1
        best = min(best, (time.perf_counter() - started) / count)
    return best * 1e6


def measure_kib(build: Callable[[], object]) -> float:
    """Return the memory that a state occupies, in KiB."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / 1024


def make_documents(services: int) -> tuple[Document, ...]:
    """Return a base document with this many services and an overlay for each data centre."""
    lines = ['[mesh]\nname = "bench"']
    for region in range(REGION_COUNT):
        names = [f'"dc{c}"' for c in range(DATA_CENTRE_COUNT) if c % REGION_COUNT == region]
        lines.append(f"[regions.region-{region}]\ndata_centres = [{', '.join(names)}]")
    for number in range(services):
        lines.append(f"[services.service-{number}]\ntimeout_ms = 2000\nattempts = 3")
        lines.append(
            f'[routes.route-{number}]\nprefix = "/service-{number}"\nservice = "service-{number}"'
        )
    base = Document(BASE, "\n".join(lines) + "\n")
    overlay = "[services.service-0]\ntimeout_ms = 1500\n"
    overlays = (DocumentName(f"dc{c}") for c in range(DATA_CENTRE_COUNT))
    return (base, *(Document(name, overlay) for name in overlays))


def member_rows(size: int) -> Iterator[Row]:
    """Measure the operations and states that grow with the fleet."""
    rng = random.Random(1)
    members = tuple(make_member(number) for number in range(size))
    swim = Swim(members[0], rng)
    list(swim.merge(members, Millis(0)))
    view = build_view(members, False)
    own_location = DaemonLocation(members[0].daemon_id, members[0].region, members[0].data_centre)
    balancer = AdaptiveBalancer(own_location, rng)
    balancer.apply_view(view)
    request = ChoiceRequest(ServiceName("service-1"))
    now = Millis(0)

    def tick() -> None:
        nonlocal now
        now = Millis(now + 100)
        list(swim.tick(now))

    def table() -> object:
        fresh = Swim(members[0], rng)
        list(fresh.merge((make_member(number) for number in range(size)), Millis(0)))
        return fresh

    yield Row("membership tick", size, measure_micros(tick), "us")
    yield Row("view build", size, measure_micros(lambda: build_view(members, False)), "us")
    yield Row("reader choice", size, measure_micros(lambda: readers(members[0], members)), "us")
    yield Row("upstream choice", size, measure_micros(lambda: balancer.choose(request, now)), "us")
    yield Row("member table", size, measure_kib(table), "KiB")
    gossip = Gossip(Version(1), Digest("0" * 32))
    sync = SyncReply(members, gossip)
    data = encode_control(sync)
    yield Row("full table message", size, len(data) / 1024, "KiB")
    yield Row("full table encode", size, measure_micros(lambda: encode_control(sync)), "us")
    yield Row("full table decode", size, measure_micros(lambda: decode_control(data)), "us")
    updates = SyncReply(members[:MAX_UPDATES_PER_MESSAGE], gossip)
    yield Row("full update message", size, len(encode_control(updates)) / 1024, "KiB")


def config_rows(services: int) -> Iterator[Row]:
    """Measure the operations and states that grow with the configuration."""
    documents = make_documents(services)
    size = sum(len(document.text) for document in documents) / 1024
    yield Row("documents", services, size, "KiB")
    compile_micros = measure_micros(lambda: compile_documents(documents, decode_toml, Version(1)))
    yield Row("compile", services, compile_micros, "us")
    snapshot_kib = measure_kib(lambda: compile_documents(documents, decode_toml, Version(1)))
    yield Row("compiled snapshot", services, snapshot_kib, "KiB")


def main(argv: Sequence[str]) -> None:
    """Print every row and write them as JSON."""
    del argv
    rows = [row for size in SIZES.value for row in member_rows(int(size))]
    rows += [row for services in (4, 9, 18, SERVICE_COUNT) for row in config_rows(services)]
    for row in sorted(rows, key=lambda r: r.what):
        print(f"{row.what:22} {row.size:6} {row.value:12.1f} {row.unit}")
    path = Path(OUTPUT.value)
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps([asdict(row) for row in rows], indent=1), encoding="utf-8")


if __name__ == "__main__":
    app.run(main)
