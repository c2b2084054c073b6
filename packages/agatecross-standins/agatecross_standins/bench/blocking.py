"""Latency of short calls when 2 % of the calls take fifty times longer, by admission policy.

The `adaptive` policy is compared with `fixed`, which has one shared FIFO queue. The load alternates
between three seconds of low and one second of high demand, because demand swings within seconds.
"""

import asyncio
import random
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import asdict, dataclass, replace

from absl import app, flags

from ..load import Sample, run_load
from .admission_runs import (
    KAFESKOOP,
    arrival_times,
    format_range,
    is_useful,
    plan_calls,
    quantile,
    start_fleets,
    write_report,
)

SEED = flags.DEFINE_integer("seed", 7, "Seed of the arrivals.")
ROUNDS = flags.DEFINE_integer("rounds", 3, "Number of rounds.")

POLICIES = ("adaptive", "fixed")
DEPLOYMENT = replace(
    KAFESKOOP, slots=12, scale="slots unscaled, 1 of 4 upstreams of 1 of 4 services"
)
LOW_LOAD_SHARE = 0.25
HIGH_LOAD_SHARE = 0.95
PERIOD_SECONDS = 4.0
HIGH_SECONDS = 1.0
RUN_SECONDS = 16.0


@dataclass(frozen=True, slots=True)
class Blocking:
    """Results of one run; latencies of the calls that ran, in milliseconds."""

    policy: str
    short_p50: float
    short_p90: float
    short_p99: float
    short_useful: float
    long_p50: float
    long_p99: float
    long_useful: float


def rate_at(at: float) -> float:
    """Return the calls per second at a time of the run."""
    high = at % PERIOD_SECONDS >= PERIOD_SECONDS - HIGH_SECONDS
    return DEPLOYMENT.capacity * (HIGH_LOAD_SHARE if high else LOW_LOAD_SHARE)


def measure(policy: str, samples: Sequence[Sample]) -> Blocking:
    """Return the results of one run, leaving out its first second."""
    rows = [s for s in samples if s.planned.at >= 1.0]
    kinds = {kind: [s for s in rows if s.planned.kind == kind] for kind in ("short", "long")}
    ran = {k: [s.latency_ms for s in v if s.outcome == "ran"] for k, v in kinds.items()}
    useful = {k: sum(map(is_useful, v)) / max(1, len(v)) for k, v in kinds.items()}
    return Blocking(
        policy,
        quantile(ran["short"], 0.5),
        quantile(ran["short"], 0.9),
        quantile(ran["short"], 0.99),
        useful["short"],
        quantile(ran["long"], 0.5),
        quantile(ran["long"], 0.99),
        useful["long"],
    )


def main(argv: Sequence[str]) -> None:
    """Run the rounds and print a table."""
    del argv
    rounds: list[dict[str, Blocking]] = []
    with ExitStack() as stack:
        fleets = dict(zip(POLICIES, start_fleets(stack, DEPLOYMENT, POLICIES), strict=True))
        for number in range(ROUNDS.value):
            results = {}
            for policy in POLICIES if number % 2 == 0 else POLICIES[::-1]:
                rng = random.Random(SEED.value + number)
                max_rate = DEPLOYMENT.capacity * HIGH_LOAD_SHARE
                times = list(arrival_times(rate_at, max_rate, RUN_SECONDS, rng))
                plan = plan_calls(DEPLOYMENT, fleets[policy].nodes[0], times, rng)
                results[policy] = measure(policy, asyncio.run(run_load(plan)))
                print(f"round {number}: {results[policy]}", flush=True)
            rounds.append(results)
    print(f"\n{DEPLOYMENT.scale}; capacity {DEPLOYMENT.capacity:.0f}/s")
    for policy in POLICIES:
        for name in Blocking.__slots__[1:]:
            print(
                f"  {policy:9} {name:12} {format_range([getattr(r[policy], name) for r in rounds])}"
            )
    for name in Blocking.__slots__[1:]:
        pairs = [(getattr(r["fixed"], name), getattr(r["adaptive"], name)) for r in rounds]
        print(f"  {name}, fixed / adaptive: {format_range([a / max(b, 0.001) for a, b in pairs])}")
    report = [{policy: asdict(row) for policy, row in results.items()} for results in rounds]
    write_report("bench-blocking", {"seed": SEED.value, "rounds": report})


if __name__ == "__main__":
    app.run(main)
