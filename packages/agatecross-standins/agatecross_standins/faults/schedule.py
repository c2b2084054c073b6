"""Seeded schedule of faults."""

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

FAULT_GAP_SECONDS = 0.6


class FaultKind(Enum):
    """What is done to the fleet."""

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


NODE_KINDS = frozenset(list(FaultKind)[:5])
LOG_KINDS = frozenset(list(FaultKind)[5:8])
# The index of a node, or the name of what all nodes share.
Place = int | str


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault from `at` for `lasts` seconds after the start of the run."""

    at: float
    lasts: float
    kind: FaultKind
    node: int


def place_of(fault: Fault) -> Place:
    """Return where a fault acts."""
    if fault.kind in NODE_KINDS:
        return fault.node
    return "log" if fault.kind in LOG_KINDS else "publish"


def schedule(seed: int, seconds: float, nodes: int) -> Iterator[Fault]:
    """Yield faults in order of time; a node and the log have at most one fault at a time."""
    rng = random.Random(seed)
    busy_until: dict[Place, float] = {}
    at = 0.0
    while True:
        at += rng.expovariate(1 / FAULT_GAP_SECONDS)
        kind = rng.choice(list(FaultKind))
        node = rng.randrange(nodes)
        lasts = rng.uniform(0.5, 6.0)
        if at + lasts > seconds:
            return
        fault = Fault(at, lasts, kind, node)
        place = place_of(fault)
        if busy_until.get(place, 0.0) <= at:
            busy_until[place] = at + lasts
            yield fault
