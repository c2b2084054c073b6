"""Measures the latency and CPU time that one and two daemon hops add to a call.

Sequential keep-alive calls go directly to an upstream, through its own daemon and through another
daemon, in random order. `--profile` instead runs the upstream's daemon under cProfile and prints
where it spends its time. `--exchange` measures the CPU time of one exchange between the HTTP client
and listener in this process, which is less affected by other load on the host.
"""

import asyncio
import pstats
import random
import signal
import time
from collections.abc import Sequence
from contextlib import ExitStack

import psutil
from absl import app, flags

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_core.calls.model import Request, Response
from agatecross_core.ids import Address, Millis

from ..fleet import Fleet, Node, Site, wait_until
from ..load import PlannedCall, poisson_times, run_load, summarise
from .admission_runs import KAFESKOOP, format_range, publish, quantile, write_report

SEED = flags.DEFINE_integer("seed", 7, "Seed of the order of paths and of the arrivals.")
ROUNDS = flags.DEFINE_integer("rounds", 5, "Rounds of sequential calls.")
CALLS = flags.DEFINE_integer("calls", 600, "Sequential calls for each path and round.")
EXCHANGE = flags.DEFINE_bool(
    "exchange", False, "Measure one HTTP exchange in this process instead."
)
PROFILE = flags.DEFINE_bool("profile", False, "Profile the daemon of the upstream instead.")

TARGET_ADDED_P99_MS = 0.36
ANSWER_BYTES = 256
RATES_CALLS_PER_SECOND = (100, 200, 400, 800)
SECONDS_PER_RATE = 4.0
PROFILE_LINES = 25
CALL_TIMEOUT = Millis(5_000)
PATHS = ("direct", "one hop", "two hops")


def start_fleet(stack: ExitStack) -> Fleet:
    """Start the node of the upstream, and a second node that receives the calls with two hops."""
    fleet = stack.enter_context(Fleet())
    fleet.add_node(KAFESKOOP.site, KAFESKOOP.service, "--work_ms=0", "--slots=64")
    fleet.add_node(Site("marmara", "bursa-b"), "member-accounts")
    publish(fleet, KAFESKOOP)
    return fleet


def path_addresses(fleet: Fleet) -> dict[str, Address]:
    """Return the address that the calls of each path are sent to."""
    ports = (fleet.nodes[0].upstream_port, fleet.nodes[0].call_port, fleet.nodes[1].call_port)
    return {path: Address(f"127.0.0.1:{p}") for path, p in zip(PATHS, ports, strict=True)}


async def answer_padding(client: TornadoHttpClient, address: Address) -> int:
    """Return the padding that makes a response body 256 bytes long."""
    response = await client.send(
        address, Request("GET", "/catalogue/1?size=1", (), b""), CALL_TIMEOUT
    )
    return ANSWER_BYTES - len(response.body) + 1


async def measure_sequential(
    targets: dict[str, Address], calls: int, rng: random.Random
) -> list[float]:
    """Return the p50 and p99 latency of each path, in milliseconds."""
    client = TornadoHttpClient()
    size = await answer_padding(client, targets["one hop"])
    request = Request("GET", f"/catalogue/1?size={size}", (), b"")
    timings: dict[str, list[float]] = {path: [] for path in PATHS}
    for _ in range(calls):
        for path in rng.sample(PATHS, len(PATHS)):
            started = time.perf_counter()
            response = await client.send(targets[path], request, CALL_TIMEOUT)
            timings[path].append((time.perf_counter() - started) * 1000)
            assert response.status == 200, response
    client.close()
    return [quantile(timings[path], q) for path in PATHS for q in (0.5, 0.99)]


def cpu_time_ms(node: Node) -> float:
    """Return the CPU time that the daemon of a node has used, in milliseconds."""
    assert node.daemon is not None
    used = psutil.Process(node.daemon.pid).cpu_times()
    return float(used.user + used.system) * 1000


def measure_at_rate(fleet: Fleet, rate: int, rng: random.Random) -> dict[str, float]:
    """Return the CPU time per call of both daemons at a rate, and the latency."""
    request = Request("GET", "/catalogue/1", (), b"")
    entry = path_addresses(fleet)["two hops"]
    times = poisson_times(rate, SECONDS_PER_RATE, rng)
    plan = [PlannedCall(at, entry, request, CALL_TIMEOUT) for at in times]
    before = [cpu_time_ms(node) for node in fleet.nodes]
    summary = summarise(asyncio.run(run_load(plan)))
    next_to, entry_ms = (
        (cpu_time_ms(node) - used) / len(plan)
        for node, used in zip(fleet.nodes, before, strict=True)
    )
    ran = summary.ran / summary.calls
    return {
        "rate": rate,
        "entry_ms": entry_ms,
        "next_to_upstream_ms": next_to,
        "ran": ran,
        "p99": summary.p99,
    }


def profile_daemon(fleet: Fleet) -> None:
    """Print a profile of the upstream's daemon under load."""
    node = fleet.nodes[0]
    fleet.stop_daemon(node)
    output = fleet.directory / "daemon.prof"
    settings = fleet.directory / f"{node.name}.toml"
    command = ("cProfile", "-o", str(output), "-m", "agatecross_daemon", f"--settings={settings}")
    node.daemon = fleet.spawn("profiled", *command)
    fleet.wait_joined()
    fleet.wait_version(1)
    rng = random.Random(SEED.value)
    request = Request("GET", "/catalogue/1", (), b"")
    target = path_addresses(fleet)["one hop"]
    plan = [PlannedCall(at, target, request, CALL_TIMEOUT) for at in poisson_times(300, 6.0, rng)]
    print(summarise(asyncio.run(run_load(plan))))
    node.daemon.send_signal(signal.SIGTERM)
    node.daemon.wait(60)
    wait_until(output.exists, "the profile")
    pstats.Stats(str(output)).sort_stats("tottime").print_stats(PROFILE_LINES)


async def measure_exchange(rounds: int, calls: int) -> list[float]:
    """Return the CPU time per exchange in microseconds, for each round after a warm-up round."""
    answer = Response(200, (("Content-Type", "text/plain"), ("X-Field", "v")), b"x" * ANSWER_BYTES)

    async def handle(request: Request) -> Response:
        del request
        return answer

    listener, client = TornadoHttpListener(), TornadoHttpClient()
    address = listener.listen(Address("127.0.0.1:0"), handle)
    request = Request("GET", "/catalogue/1", tuple((f"X-Field-{i}", "v") for i in range(4)), b"")
    timings = []
    for _ in range(rounds + 1):
        started = time.process_time()
        for _ in range(calls):
            await client.send(address, request, CALL_TIMEOUT)
        timings.append((time.process_time() - started) / calls * 1e6)
    client.close()
    await listener.close()
    return timings[1:]


def main(argv: Sequence[str]) -> None:
    """Measure or profile, and print a table."""
    del argv
    if EXCHANGE.value:
        timings = asyncio.run(measure_exchange(ROUNDS.value, CALLS.value))
        print(f"CPU time per exchange, microseconds: {format_range(timings)}")
        return
    rng = random.Random(SEED.value)
    with ExitStack() as stack:
        fleet = start_fleet(stack)
        if PROFILE.value:
            profile_daemon(fleet)
            return
        targets = path_addresses(fleet)
        # Warm-up.
        asyncio.run(measure_sequential(targets, 200, rng))
        rounds = [
            asyncio.run(measure_sequential(targets, CALLS.value, rng)) for _ in range(ROUNDS.value)
        ]
        rates = [measure_at_rate(fleet, rate, rng) for rate in RATES_CALLS_PER_SECOND]
    added = {
        f"{path} {name}": [row[column] - row[column % 2] for row in rounds]
        for column, (path, name) in enumerate([(p, n) for p in PATHS for n in ("p50", "p99")])
        if path != "direct"
    }
    for column, name in enumerate(("direct p50", "direct p99")):
        print(f"{name} ms: {format_range([row[column] for row in rounds])}")
    for name, values in added.items():
        print(f"added, {name} ms: {format_range(values)}")
    print(f"target {TARGET_ADDED_P99_MS} ms added at p99 over both hops")
    for row in rates:
        print(" ".join(f"{key}={value:.3f}" for key, value in row.items()))
    write_report("bench-hop", {"seed": SEED.value, "added_ms": added, "rates": rates})


if __name__ == "__main__":
    app.run(main)
