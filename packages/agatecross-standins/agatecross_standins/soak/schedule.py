"""Seeded schedule of faults, which can overlap and come in series on several nodes."""

import heapq
import random
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from enum import Enum

MEAN_FAULT_GAP_SECONDS = 0.7
MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 4.0
SERIES_PROBABILITY = 0.25


class FaultKind(Enum):
    """Kind of fault and what it affects.

    `KILL_ALL` kills every daemon, `HANG_UP` sends SIGHUP, and `STORE_COMPACTION` drops the records
    of a topic except for the newest value of each key. `STORE_RESTORED` brings the store back from
    a copy that is as old as the fault is long. `HERD_SILENT` silences every open connection between
    daemons and to the store, and publishes a version at the end of the fault.
    `UPSTREAM_LINK_SILENT` silences the open connections to one upstream.
    """

    KILL = "kill"
    KILL_ALL = "herd-kill"
    TERM = "term"
    PAUSE = "pause"
    HANG_UP = "hang-up"
    LINK_DELAY = "link-delay"
    LINK_RESET = "link-reset"
    LINK_ONE_WAY = "link-one-way"
    LINK_SILENT = "link-silent"
    UPSTREAM_LINK_RESET = "upstream-link-reset"
    UPSTREAM_SLOW = "upstream-slow"
    UPSTREAM_FAULTY = "upstream-faulty"
    UPSTREAM_CRASH = "upstream-crash"
    UPSTREAM_LEAVE = "upstream-leave"
    UPSTREAM_LIMITED = "upstream-limited"
    UPSTREAM_SAYS_LEAVING = "upstream-says-leaving"
    STORE_REFUSES = "store-refuses"
    STORE_SILENT = "store-silent"
    STORE_COMPACTION = "store-forgets"
    STORE_LINK_RESET = "store-link-reset"
    STORE_RESTORED = "store-restored"
    PUBLISH = "publish"
    HERD_SILENT = "herd-silent"
    UPSTREAM_LINK_SILENT = "upstream-link-silent"


# Drawn apart from the other kinds, so that the schedules of seeds that failed before stay the same.
NOTICE_KINDS = (FaultKind.UPSTREAM_LIMITED, FaultKind.UPSTREAM_SAYS_LEAVING)
SEPARATE_KINDS = (
    *NOTICE_KINDS,
    FaultKind.STORE_RESTORED,
    FaultKind.HERD_SILENT,
    FaultKind.UPSTREAM_LINK_SILENT,
)
DRAWN_KINDS = tuple(kind for kind in FaultKind if kind not in SEPARATE_KINDS)
MEAN_NOTICE_GAP_SECONDS = 4.0
# A limit binds 3 s after it was first named.
MIN_NOTICE_SECONDS = 4.0
MAX_NOTICE_SECONDS = 8.0
MEAN_RESTORE_GAP_SECONDS = 4.0
MEAN_SILENCE_GAP_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault on a node; it begins `at` seconds after the start of the run."""

    at: float
    duration_seconds: float
    kind: FaultKind
    node: int


def schedule(
    seed: int, seconds: float, node_count: int, kinds: Collection[FaultKind] = tuple(FaultKind)
) -> Iterator[Fault]:
    """Yield the faults of a run; the other kinds than `kinds` are left out."""
    faults = heapq.merge(
        _drawn_faults(seed, seconds, node_count),
        _notices(seed, seconds, node_count),
        _restores(seed, seconds, node_count),
        _silences(seed, seconds, node_count),
        _upstream_silences(seed, seconds, node_count),
        key=lambda fault: fault.at,
    )
    yield from (fault for fault in faults if fault.kind in kinds)


def _notices(seed: int, seconds: float, node_count: int) -> Iterator[Fault]:
    rng = random.Random(f"notices of {seed}")
    at = 0.0
    while (at := at + rng.expovariate(1 / MEAN_NOTICE_GAP_SECONDS)) < seconds:
        duration_seconds = rng.uniform(MIN_NOTICE_SECONDS, MAX_NOTICE_SECONDS)
        kind, node = rng.choice(NOTICE_KINDS), rng.randrange(node_count)
        if at + duration_seconds <= seconds + MAX_FAULT_SECONDS:
            yield Fault(at, duration_seconds, kind, node)


def _restores(seed: int, seconds: float, node_count: int) -> Iterator[Fault]:
    rng = random.Random(f"restores of {seed}")
    at = 0.0
    while (at := at + rng.expovariate(1 / MEAN_RESTORE_GAP_SECONDS)) < seconds:
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        node = rng.randrange(node_count)
        if at + duration_seconds <= seconds:
            yield Fault(at, duration_seconds, FaultKind.STORE_RESTORED, node)


def _silences(seed: int, seconds: float, node_count: int) -> Iterator[Fault]:
    rng = random.Random(f"silences of {seed}")
    at = 0.0
    while (at := at + rng.expovariate(1 / MEAN_SILENCE_GAP_SECONDS)) < seconds:
        duration_seconds = rng.uniform(0.0, MAX_FAULT_SECONDS)
        yield Fault(at, duration_seconds, FaultKind.HERD_SILENT, rng.randrange(node_count))


def _upstream_silences(seed: int, seconds: float, node_count: int) -> Iterator[Fault]:
    rng = random.Random(f"upstream silences of {seed}")
    at = 0.0
    while (at := at + rng.expovariate(1 / MEAN_SILENCE_GAP_SECONDS)) < seconds:
        yield Fault(at, 0.0, FaultKind.UPSTREAM_LINK_SILENT, rng.randrange(node_count))


def _drawn_faults(seed: int, seconds: float, node_count: int) -> Iterator[Fault]:
    """Yield faults; about a quarter of the draws become a series on several nodes.

    The draws are in order of time, but faults of a series may start after faults of the next draw.
    """
    rng = random.Random(seed)
    at = 0.0
    while True:
        at += rng.expovariate(1 / MEAN_FAULT_GAP_SECONDS)
        kind = rng.choice(DRAWN_KINDS)
        duration_seconds = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        count = rng.randint(2, node_count) if rng.random() < SERIES_PROBABILITY else 1
        first = rng.randrange(node_count)
        gap = rng.uniform(0.0, 0.5)
        if at > seconds:
            return
        if at + duration_seconds + count * gap > seconds:
            continue
        for step in range(count):
            yield Fault(at + step * gap, duration_seconds, kind, (first + step) % node_count)
