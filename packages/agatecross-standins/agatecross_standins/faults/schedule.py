"""Seeded schedule of faults."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

MEAN_FAULT_GAP_SECONDS = 0.6


class FaultKind(Enum):
    """Kind of fault."""

    KILL_DAEMON = "kill-daemon"
    KILL_UPSTREAM = "kill-upstream"
    PAUSE_DAEMON = "pause-daemon"
    REPLACE_DAEMON = "replace-daemon"
    DRAIN_UPSTREAM = "drain-upstream"
    LOG_OUTAGE = "log-outage"
    LOG_SLOW = "log-slow"
    LOSE_ANSWERS = "lose-answers"
    PUBLISH = "publish"
    PUBLISH_RACE = "publish-race"
    PUBLISH_INVALID = "publish-invalid"


NODE_FAULT_KINDS = frozenset(list(FaultKind)[:5])
LOG_FAULT_KINDS = frozenset(list(FaultKind)[5:8])
# The index of a node, or the name of a target that all nodes share.
FaultTarget = int | str


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault, which begins `at` seconds after the start of the run."""

    at: float
    duration_seconds: float
    kind: FaultKind
    node: int


def fault_target(fault: Fault) -> FaultTarget:
    """Return the target that a fault affects."""
    if fault.kind in NODE_FAULT_KINDS:
        return fault.node
    return "log" if fault.kind in LOG_FAULT_KINDS else "publish"


def schedule(seed: int, seconds: float, node_count: int) -> Iterator[Fault]:
    """Yield faults in order of time; each target has at most one fault at a time."""
    rng = random.Random(seed)
    busy_until: dict[FaultTarget, float] = {}
    at = 0.0
    while True:
        at += rng.expovariate(1 / MEAN_FAULT_GAP_SECONDS)
        kind = rng.choice(list(FaultKind))
        node = rng.randrange(node_count)
        duration_seconds = rng.uniform(0.5, 6.0)
        if at + duration_seconds > seconds:
            return
        fault = Fault(at, duration_seconds, kind, node)
        target = fault_target(fault)
        if busy_until.get(target, 0.0) <= at:
            busy_until[target] = at + duration_seconds
            yield fault
