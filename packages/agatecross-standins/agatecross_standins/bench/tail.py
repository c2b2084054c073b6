"""Tail latency while upstreams on one undeclared power feed are slowed down for short intervals.

Two workloads modelled on the deployments of the design page, scaled to one machine: 4 data centres
as there, 2 of the 4 services, 1 upstream of each service in a data centre. A quarter of the
upstreams, one of each service, shares the feed. No link delays are emulated.
"""

import asyncio
import random
import tempfile
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from absl import app, flags

from agatecross_core.calls.model import Request
from agatecross_core.ids import Address, Millis

from ..fleet import Fleet, Node, Site
from ..load import PlannedCall, Sample, Summary, poisson_times, run_load, summarise
from .experiment import alternate_variants, report

MAX_START_ATTEMPTS = 3
VARIANTS = ("adaptive", "round-robin", "two-random")
SEED = flags.DEFINE_integer("seed", 1, "Seed of arrivals, work and slow intervals.")
ROUNDS = flags.DEFINE_integer(
    "rounds", 3, "Number of rounds of each variant.", lower_bound=1, upper_bound=20
)
SECONDS = flags.DEFINE_float("seconds", 15.0, "Measured seconds of a round.", upper_bound=120.0)
WARM_SECONDS = flags.DEFINE_float("warm_seconds", 8.0, "Seconds of load before the measurement.")
RATE = flags.DEFINE_float("rate", 240.0, "Calls per second over the fleet.", upper_bound=1000.0)
SLOW_FACTOR = flags.DEFINE_float(
    "slow_factor", 5.0, "Slow-down factor of the upstreams on the feed."
)
SLOW_SECONDS = flags.DEFINE_float("slow_seconds", 0.4, "Seconds of a slow interval.")
PERIOD_SECONDS = flags.DEFINE_float(
    "period_seconds", 1.5, "Mean seconds from the start of one slow interval to the next."
)
WORKLOAD_NAME = flags.DEFINE_enum("workload", "all", ["all", "lyskaede", "kafeskoop"], "Workload.")
CHOSEN_VARIANTS = flags.DEFINE_list(
    "variants", list(VARIANTS), "Balancers; the first is compared with the others."
)


@dataclass(frozen=True, slots=True)
class Workload:
    """Shape of the load; a share `long_share` of the calls takes `long_factor` times as long."""

    name: str
    example: str
    regions: tuple[tuple[str, str], ...]
    services: tuple[tuple[str, str], ...]
    slots: int
    mean_work_ms: float
    long_share: float = 0.0
    long_factor: float = 1.0


WORKLOADS = (
    Workload(
        "lyskaede",
        "lysknude",
        (
            ("jylland", "aarhus-a"),
            ("jylland", "aalborg-b"),
            ("sjaelland", "koebenhavn-a"),
            ("sjaelland", "roskilde-b"),
        ),
        (("case-portal", "/cases"), ("untangling-queue", "/queue")),
        17,
        8.0,
    ),
    Workload(
        "kafeskoop",
        "kafeskoop",
        (
            ("marmara", "bursa-a"),
            ("marmara", "bursa-b"),
            ("ege", "denizli-a"),
            ("ege", "denizli-b"),
        ),
        (("catalogue", "/catalogue"), ("materials-ordering", "/materials")),
        12,
        15.0,
        0.01,
        12.0,
    ),
)


def plan_calls(workload: Workload, nodes: Sequence[Node], seed: int) -> Iterator[PlannedCall]:
    """Yield the arrivals, which are the same for every variant except for the port numbers."""
    rng = random.Random(f"{workload.name} arrivals {seed}")
    for at in poisson_times(RATE.value, WARM_SECONDS.value + SECONDS.value, rng):
        node = nodes[rng.randrange(len(nodes))]
        _, prefix = workload.services[rng.randrange(len(workload.services))]
        # The gamma distribution with shape 4 spreads by a factor of about two around the mean.
        work = rng.gammavariate(4.0, workload.mean_work_ms / 4.0)
        if rng.random() < workload.long_share:
            work *= workload.long_factor
        kind = "warm" if at < WARM_SECONDS.value else "measured"
        request = Request("GET", f"{prefix}/1?work_ms={work:.2f}", (), b"")
        yield PlannedCall(
            at, Address(node.call_url.removeprefix("http://")), request, Millis(10_000), kind
        )


def slow_intervals(seed: int) -> Iterator[tuple[float, float]]:
    """Yield the start and the end of each slow interval of the feed, in seconds."""
    rng = random.Random(f"feed {seed}")
    at = 0.5
    while at < WARM_SECONDS.value + SECONDS.value:
        yield at, at + SLOW_SECONDS.value
        at += PERIOD_SECONDS.value * rng.uniform(0.8, 1.2)


def select_feed_nodes(workload: Workload, nodes: Sequence[Node], seed: int) -> list[Node]:
    """Return the nodes on the feed: one of each service, in different data centres."""
    data_centres = random.Random(f"places {seed}").sample(workload.regions, len(workload.services))
    wanted = {
        (centre, s) for (_, centre), (s, _) in zip(data_centres, workload.services, strict=True)
    }
    return [node for node in nodes if (node.site.data_centre, node.service) in wanted]


async def slow_feed(fleet: Fleet, feed: Sequence[Node], seed: int) -> None:
    """Slow down the upstreams on the feed in its intervals; their announced state is unchanged."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    for begin, end in slow_intervals(seed):
        for at, factor in ((begin, SLOW_FACTOR.value), (end, 1.0)):
            await asyncio.sleep(max(0.0, start + at - loop.time()))
            calls = (
                asyncio.to_thread(fleet.set_upstream_switches, node, slow_factor=factor)
                for node in feed
            )
            await asyncio.gather(*calls)


async def run_round(fleet: Fleet, workload: Workload, seed: int) -> list[Sample]:
    """Run the load together with the slow intervals and return the measured samples."""
    feed = select_feed_nodes(workload, fleet.nodes, seed)
    switching = asyncio.ensure_future(slow_feed(fleet, feed, seed))
    samples = await run_load(plan_calls(workload, fleet.nodes, seed))
    switching.cancel()
    return [sample for sample in samples if sample.planned.kind == "measured"]


def measure(workload: Workload, variant: str, number: int) -> Summary:
    """Start a fleet with one balancer and measure one round.

    The start is retried, as another process may take a port between its choice and its use.
    """
    settings = f'\n[policy]\nbalancing = "{variant}"\n'
    for _ in range(MAX_START_ATTEMPTS):
        with (
            tempfile.TemporaryDirectory(prefix="agatecross-tail-") as directory,
            Fleet(directory=Path(directory), extra_settings=settings) as fleet,
        ):
            if start_fleet(fleet, workload):
                samples = asyncio.run(run_round(fleet, workload, SEED.value * 1000 + number))
                return summarise(samples)
    raise RuntimeError(f"the fleet did not start in {MAX_START_ATTEMPTS} attempts")


def start_fleet(fleet: Fleet, workload: Workload) -> bool:
    """Start the nodes and publish; return whether the fleet is ready.

    If not, print the last line of the output of each process.
    """
    for region, data_centre in workload.regions:
        for service, _ in workload.services:
            fleet.add_node(Site(region, data_centre), service, f"--slots={workload.slots}")
    try:
        fleet.wait_joined()
        result = fleet.run_cli("publish", f"examples/{workload.example}")
        if result.returncode:
            raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
        fleet.wait_version(1)
    except TimeoutError as error:
        print(f"fleet did not start: {error}")
        for path in sorted(fleet.directory.glob("*.out")):
            print(path.name, path.read_text(encoding="utf-8").splitlines()[-1:])
        return False
    return True


def main(argv: Sequence[str]) -> None:
    """Measure the chosen workloads."""
    del argv
    for workload in WORKLOADS:
        if WORKLOAD_NAME.value not in ("all", workload.name):
            continue
        rounds = list(
            alternate_variants(
                CHOSEN_VARIANTS.value,
                ROUNDS.value,
                lambda v, n, w=workload: measure(w, v, n),  # type: ignore[misc]
            )
        )
        parameters: dict[str, object] = {
            "seed": SEED.value,
            "rate": RATE.value,
            "seconds": SECONDS.value,
            "slow_factor": SLOW_FACTOR.value,
        }
        report(f"tail-{workload.name}", parameters, rounds, CHOSEN_VARIANTS.value[0])


if __name__ == "__main__":
    app.run(main)
