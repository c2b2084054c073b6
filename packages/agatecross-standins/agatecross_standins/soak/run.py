"""One soak run: starts the fleet, runs callers under faults, waits for recovery and checks."""

import asyncio
import random
import time
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass
from pathlib import Path

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_core.calls.model import Request
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, Millis, Version

from .callers import Caller
from .checks import violations
from .customers import HOT_KEY, UNKNOWN_KEY, KeyChoice, version_key
from .events import History, RequestOutcome, VersionObservation
from .fleet import DAEMON_SITES, Node, SoakFleet
from .injector import Injector
from .schedule import FaultKind, schedule

CALLER_COUNT = 12
# Callers that stay with one daemon and send almost without pause, so that it always has requests
# in progress when it drains.
BUSY_CALLER_COUNT = 6
BUSY_REQUEST_GAP_SECONDS = 0.005
# Together they send some five times what the limit of their customer allows.
HOT_CALLER_COUNT = 3
# Callers with the newest key, one that was withdrawn, or none that is known.
KEY_CALLER_COUNT = 2
# Long enough for six interpreters to start on a busy machine; not a limit of the product.
START_TIMEOUT_SECONDS = 120.0
FINAL_ROUNDS = 5
POLL_INTERVAL_SECONDS = 0.25
METRICS_TIMEOUT = Millis(500)
VERSION_METRIC = b"agatecross_config_version "


@dataclass(frozen=True, slots=True)
class SoakResult:
    """Counts of faults and request outcomes, and the violations."""

    summary: str
    violations: tuple[str, ...]


async def run_soak(
    seed: int,
    seconds: float,
    recovery_seconds: float,
    log_directory: Path,
    kinds: Collection[FaultKind],
) -> SoakResult:
    """Run one seed; the fleet has `recovery_seconds` to recover after the last fault.

    The logs of the daemons stay in `log_directory`.
    """
    history = History()
    fleet = SoakFleet(log_directory)
    faults = list(schedule(seed, seconds, len(DAEMON_SITES), kinds))
    await fleet.start()
    try:
        if not await _wait_until_serving(fleet, START_TIMEOUT_SECONDS):
            return SoakResult(
                "did not start",
                ("not every daemon served the newest route before the start timeout",),
            )
        rng = random.Random(seed)
        callers = [
            Caller(f"c{n}", fleet.nodes, history, random.Random(rng.random()))
            for n in range(CALLER_COUNT)
        ]
        busy_nodes = [rng.choice(fleet.nodes)]
        callers += [
            Caller(
                f"b{n}", busy_nodes, history, random.Random(rng.random()), BUSY_REQUEST_GAP_SECONDS
            )
            for n in range(BUSY_CALLER_COUNT)
        ]
        callers += [
            Caller(
                f"h{n}",
                fleet.nodes,
                history,
                random.Random(rng.random()),
                choose_key=lambda: HOT_KEY,
            )
            for n in range(HOT_CALLER_COUNT)
        ]
        callers += [
            Caller(f"k{n}", fleet.nodes, history, key_rng, choose_key=_key_choice(fleet, key_rng))
            for n in range(KEY_CALLER_COUNT)
            for key_rng in (random.Random(rng.random()),)
        ]
        tasks = [asyncio.ensure_future(caller.run()) for caller in callers]
        tasks.append(asyncio.ensure_future(_record_versions(fleet, history)))
        injector = Injector(fleet, history)
        await injector.run(faults)
        await injector.stop_without_faults(busy_nodes[0])
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await _wait_until_serving(fleet, recovery_seconds)
        await _send_final_requests(fleet, history)
        _collect_results(fleet, history)
    finally:
        await fleet.close()
    outcomes = Counter(row.outcome.value for row in history.requests)
    counts = " ".join(f"{name}={count}" for name, count in sorted(outcomes.items()))
    return SoakResult(f"{len(faults)} faults, {counts}", tuple(violations(history)))


def _key_choice(fleet: SoakFleet, rng: random.Random) -> KeyChoice:
    """Return a choice among the newest key, the one before it and an unknown one."""

    def choose() -> str:
        before = Version(max(1, fleet.version - 1))
        return rng.choice((version_key(fleet.version), version_key(before), UNKNOWN_KEY))

    return choose


async def _wait_until_serving(fleet: SoakFleet, seconds: float) -> bool:
    """Wait until every daemon answers the newest route; return whether all did in time."""
    deadline = time.monotonic() + seconds
    probe = History()
    waiting = list(fleet.nodes)
    while waiting and time.monotonic() < deadline:
        caller = Caller(f"p{time.monotonic_ns()}", waiting[:1], probe, random.Random(1))
        row = await caller.send("GET", f"/v{fleet.version}/", False)
        caller.disconnect()
        if row is not None and row.outcome is RequestOutcome.ANSWERED:
            waiting.pop(0)
        else:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
    return not waiting


async def _send_final_requests(fleet: SoakFleet, history: History) -> None:
    for node in fleet.nodes:
        caller = Caller(f"e{node.number}", [node], history, random.Random(1))
        for _ in range(FINAL_ROUNDS):
            for prefix in ("/safe/", f"/v{fleet.version}/"):
                row = await caller.send("GET", prefix, False)
                if row is not None:
                    history.final_requests.append(row)
        caller.disconnect()


async def _record_versions(fleet: SoakFleet, history: History) -> None:
    http = TornadoHttpClient()
    while True:
        for node in fleet.nodes:
            restarts, asked_at = len(node.exit_codes), time.monotonic()
            version = await _fetch_version(http, node)
            if version is not None and restarts == len(node.exit_codes):
                row = VersionObservation(node.number, restarts, version, asked_at)
                history.versions.append(row)
        await asyncio.sleep(POLL_INTERVAL_SECONDS)


async def _fetch_version(http: TornadoHttpClient, node: Node) -> int | None:
    request = Request("GET", "/metrics", (), b"")
    try:
        response = await http.send(Address(node.addresses["metrics"]), request, METRICS_TIMEOUT)
    except ExchangeError:
        # The daemon is down or paused, so its version is unknown.
        return None
    for line in response.body.splitlines():
        if line.startswith(VERSION_METRIC):
            return int(float(line.split()[1]))
    return None


def _collect_results(fleet: SoakFleet, history: History) -> None:
    runs: Counter[str] = Counter()
    for upstream in [*fleet.replaced_upstreams, *(node.upstream for node in fleet.nodes)]:
        runs.update(upstream.runs)
        for at, call_id in upstream.run_starts:
            history.first_runs[call_id] = min(at, history.first_runs.get(call_id, at))
    history.runs = dict(runs)
    for node in fleet.nodes:
        history.exits += [(node.number, code) for code in node.exit_codes]
        for line in node.log_path.read_text(encoding="utf-8", errors="replace").splitlines():
            if line.startswith("Traceback"):
                history.tracebacks.append(f"{node.log_path}: {line}")
