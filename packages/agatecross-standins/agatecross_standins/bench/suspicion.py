"""Measures false suspicions and the detection time while calls overload the daemons.

Run with `python -m agatecross_standins.bench.suspicion --rate=4000`. Several processes send the
load, so that the clients do not limit it.
"""

import asyncio
import random
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass

from absl import app, flags

from agatecross_core.calls.model import Request
from agatecross_core.ids import Address, Millis

from ..fleet import Fleet, Node, wait_until
from ..load import PlannedCall, Summary, poisson_times, run_load, summarise
from .idle_fleet import EXAMPLE, SITES
from .report import print_table, write_json

DAEMONS = flags.DEFINE_integer("daemons", 4, "Number of daemons, each with an upstream.")
RATE = flags.DEFINE_float("rate", 4000.0, "Calls per second over all daemons.")
CLIENTS = flags.DEFINE_integer("clients", 4, "Number of processes that send calls.")
SECONDS = flags.DEFINE_float(
    "seconds",
    15.0,
    "Duration of the load before a daemon is killed, and again after it, in seconds.",
)
OUTPUT = flags.DEFINE_string("output", "build/bench-suspicion.json", "Path of the JSON results.")

PATH = "/cases/1"
CALL_TIMEOUT = Millis(4_000)


@dataclass(frozen=True, slots=True)
class Suspicion:
    """Results at one rate; `unreachable` counts failed probe rounds, all of them false alarms."""

    calls_per_second: float
    ran: int
    not_run: int
    unknown: int
    p99_ms: float
    unreachable: int
    detection_seconds: float


def send_load(addresses: Sequence[str], rate: float, seconds: float, seed: int) -> Summary:
    """Send calls to random daemons; runs in a separate process."""
    rng = random.Random(seed)
    plan = [
        PlannedCall(at, Address(rng.choice(addresses)), Request("GET", PATH, (), b""), CALL_TIMEOUT)
        for at in poisson_times(rate, seconds, rng)
    ]
    return summarise(asyncio.run(run_load(plan)))


def count_unreachable_events(fleet: Fleet) -> int:
    """Return how often daemons logged that another daemon was unreachable."""
    logs = fleet.directory.glob("*-daemon.out")
    return sum(path.read_text().count("event=member_unreachable") for path in logs)


def measure_detection_seconds(fleet: Fleet, killed_node: Node) -> float:
    """Kill a daemon and return the seconds until no other daemon lists it."""
    fleet.stop_daemon(killed_node, 9)
    started = time.monotonic()
    for node in fleet.nodes:
        if node is not killed_node:
            wait_until(
                lambda node=node: all(  # type: ignore[misc]
                    row["daemon_id"] != killed_node.name for row in fleet.members(node)
                ),
                f"{node.name} to drop {killed_node.name}",
            )
    return time.monotonic() - started


def measure(rate: float) -> Suspicion:
    """Load a new fleet, count false suspicions, then kill a daemon under the same load."""
    with Fleet() as fleet, ProcessPoolExecutor(CLIENTS.value) as pool:
        for index in range(DAEMONS.value):
            fleet.add_node(SITES[index % len(SITES)], "case-portal")
        fleet.wait_joined()
        fleet.run_cli("publish", EXAMPLE)
        fleet.wait_version(1)
        addresses = [node.call_url.removeprefix("http://") for node in fleet.nodes[:-1]]
        rate_per_client, seconds = rate / CLIENTS.value, SECONDS.value
        futures = [
            pool.submit(send_load, addresses, rate_per_client, 2 * seconds, seed)
            for seed in range(CLIENTS.value)
        ]
        time.sleep(seconds)
        unreachable = count_unreachable_events(fleet)
        detection = measure_detection_seconds(fleet, fleet.nodes[-1])
        rows = [future.result() for future in futures]
    return Suspicion(
        sum(row.calls for row in rows) / (2 * seconds),
        sum(row.ran for row in rows),
        sum(row.not_run for row in rows),
        sum(row.unknown for row in rows),
        max(row.p99 for row in rows),
        unreachable,
        detection,
    )


def main(argv: Sequence[str]) -> None:
    """Measure at a low rate and at the given one."""
    del argv
    rows: list[dict[str, object]] = [asdict(measure(rate)) for rate in (40.0, RATE.value)]
    print_table(rows)
    write_json(OUTPUT.value, rows)


if __name__ == "__main__":
    app.run(main)
