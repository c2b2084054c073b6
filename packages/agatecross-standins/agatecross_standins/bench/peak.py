"""Measures each admission policy while demand grows to ten times the base within two seconds.

One daemon and one upstream for each policy run at the same time. The load goes to one of them at a
time, in rotating order, with the same arrivals for each policy of a round.
"""

import asyncio
import random
from collections.abc import Sequence
from contextlib import ExitStack
from dataclasses import asdict, dataclass

from absl import app, flags

from ..load import Sample, run_load
from .admission_runs import (
    KAFESKOOP,
    LYSKAEDE,
    Deployment,
    arrival_times,
    format_range,
    is_useful,
    plan_calls,
    quantile,
    start_fleets,
    write_report,
)

SEED = flags.DEFINE_integer("seed", 7, "Seed of the arrivals.")
ROUNDS = flags.DEFINE_integer("rounds", 3, "Number of rounds for each deployment.")

POLICIES = ("adaptive", "fixed", "none")
BASE_LOAD_SHARE = 0.25
SWING_FACTOR = 10.0
SWING_START_SECONDS = 2.0
RAMP_SECONDS = 2.0
SWING_END_SECONDS = 7.0
RUN_SECONDS = 11.0
NORMAL_WINDOW_SECONDS = 0.5
WINDOW_STEP_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Peak:
    """Results of one run: shares of the calls that arrived during the swing, and times in ms."""

    policy: str
    offered: int
    useful: float
    useful_short: float
    refused: float
    late: float
    refusal_p50: float
    refusal_p99: float
    short_p99: float
    normal_after_ms: float


def rate_at(deployment: Deployment, at: float) -> float:
    """Return the calls per second at a time of the run: base, ramp, peak and base again."""
    base = BASE_LOAD_SHARE * deployment.capacity
    if not SWING_START_SECONDS <= at < SWING_END_SECONDS:
        return base
    return base * (1 + (SWING_FACTOR - 1) * min(1.0, (at - SWING_START_SECONDS) / RAMP_SECONDS))


def measure(policy: str, samples: Sequence[Sample]) -> Peak:
    """Return the results of one run."""
    swing = [s for s in samples if SWING_START_SECONDS <= s.planned.at < SWING_END_SECONDS]
    short = [s for s in swing if s.planned.kind == "short"]
    refused = [s for s in swing if s.outcome == "not-run"]
    useful = sum(map(is_useful, swing))
    return Peak(
        policy,
        len(swing),
        useful / len(swing),
        sum(map(is_useful, short)) / len(short),
        len(refused) / len(swing),
        (len(swing) - useful - len(refused)) / len(swing),
        quantile((s.latency_ms for s in refused), 0.5),
        quantile((s.latency_ms for s in refused), 0.99),
        quantile((s.latency_ms for s in short if s.outcome == "ran"), 0.99),
        recovery_ms(samples),
    )


def recovery_ms(samples: Sequence[Sample]) -> float:
    """Return the ms from the end of the swing to the first window whose calls are all useful."""
    at = SWING_END_SECONDS
    while at + NORMAL_WINDOW_SECONDS <= RUN_SECONDS:
        window = [s for s in samples if at <= s.planned.at < at + NORMAL_WINDOW_SECONDS]
        if all(map(is_useful, window)):
            return (at - SWING_END_SECONDS) * 1000
        at += WINDOW_STEP_SECONDS
    return (RUN_SECONDS - SWING_END_SECONDS) * 1000


def run_deployment(deployment: Deployment) -> list[list[Peak]]:
    """Return the results of each policy in each round."""
    rounds: list[list[Peak]] = []
    with ExitStack() as stack:
        fleets = dict(zip(POLICIES, start_fleets(stack, deployment, POLICIES), strict=True))
        for number in range(ROUNDS.value):
            order = POLICIES[number % len(POLICIES) :] + POLICIES[: number % len(POLICIES)]
            peaks = {}
            for policy in order:
                rng = random.Random(SEED.value + number)
                max_rate = BASE_LOAD_SHARE * deployment.capacity * SWING_FACTOR
                times = list(
                    arrival_times(lambda at: rate_at(deployment, at), max_rate, RUN_SECONDS, rng)
                )
                plan = plan_calls(deployment, fleets[policy].nodes[0], times, rng)
                peaks[policy] = measure(policy, asyncio.run(run_load(plan)))
                print(f"{deployment.name} round {number}: {peaks[policy]}", flush=True)
            rounds.append([peaks[policy] for policy in POLICIES])
    return rounds


def main(argv: Sequence[str]) -> None:
    """Run both deployments and print a table."""
    del argv
    report = {}
    for deployment in (LYSKAEDE, KAFESKOOP):
        rounds = run_deployment(deployment)
        report[deployment.name] = [[asdict(peak) for peak in row] for row in rounds]
        print(f"\n{deployment.name}: {deployment.scale}; capacity {deployment.capacity:.0f}/s")
        for index, policy in enumerate(POLICIES):
            peaks = [row[index] for row in rounds]
            for name in Peak.__slots__[2:]:
                print(f"  {policy:9} {name:16} {format_range([getattr(p, name) for p in peaks])}")
        for index, policy in enumerate(POLICIES[1:], 1):
            ratios = [row[0].useful / max(row[index].useful, 0.001) for row in rounds]
            print(f"  useful, adaptive / {policy}: {format_range(ratios)}")
    write_report("bench-peak", {"seed": SEED.value, "deployments": report})


if __name__ == "__main__":
    app.run(main)
