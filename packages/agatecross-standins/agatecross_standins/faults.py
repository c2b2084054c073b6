"""Runs a fleet under a seeded schedule of faults and checks its history.

`python -m agatecross_standins.faults --seed=1 --seconds=30` prints counts and violations and exits
with code 1 when there are any. The seed fixes the schedule and the calls; timing differs from run
to run.
"""

import base64
import json
import random
import signal
import subprocess
import sys
import threading
import time
import urllib.error
import uuid
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, field
from enum import Enum
from http.client import HTTPException
from pathlib import Path

from absl import app, flags

from agatecross_adapters.codec import decode_record, encode_record
from agatecross_adapters.toml_documents import decode_toml
from agatecross_cli.documents import read_documents
from agatecross_core.config.fold import fold
from agatecross_core.config.model import (
    ConfigState,
    Document,
    MeshSnapshot,
    PublishRecord,
    SnapshotRecord,
)
from agatecross_core.constants import RULE_SET
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import DataCentreName, PublishId, Version

from .fleet import Fleet, Node, Site, fetch
from .history import (
    IN_FORCE_SECONDS,
    Answered,
    Broken,
    Event,
    InForce,
    Leaving,
    Published,
    Refused,
    Returned,
    Sent,
    ShutdownBegun,
    ShutdownEnded,
    Started,
    Undisturbed,
    UnknownOutcome,
    check_history,
)

SEED = flags.DEFINE_integer("seed", 1, "Seed of the schedule and of the calls.")
SECONDS = flags.DEFINE_float("seconds", 30.0, "Time in which faults begin and end.")

EXAMPLE = Path(__file__).resolve().parents[3] / "examples" / "lysknude"
SITES = (
    Site("jylland", "aarhus-a"),
    Site("jylland", "aalborg-b"),
    Site("sjaelland", "koebenhavn-a"),
    Site("sjaelland", "roskilde-b"),
)
SERVICES = {"van-booking": "/vans", "case-portal": "/cases"}
CALLERS = 8
CALL_GAP_SECONDS = 0.04
CALL_TIMEOUT_SECONDS = 8.0
POLL_SECONDS = 0.1
RECOVERY_SECONDS = 60.0
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


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault from `at` for `lasts` seconds after the start of the run."""

    at: float
    lasts: float
    kind: FaultKind
    node: int


def schedule(seed: int, seconds: float, nodes: int) -> Iterator[Fault]:
    """Yield faults in order of time; a node and the log have at most one fault at a time."""
    rng = random.Random(seed)
    busy_until: dict[int | str, float] = {}
    at = 0.0
    while True:
        at += rng.expovariate(1 / FAULT_GAP_SECONDS)
        kind = rng.choice(list(FaultKind))
        node = rng.randrange(nodes)
        lasts = rng.uniform(0.5, 6.0)
        if at + lasts > seconds:
            return
        place = node if kind in NODE_KINDS else "log" if kind in LOG_KINDS else "publish"
        if busy_until.get(place, 0.0) <= at:
            busy_until[place] = at + lasts
            yield Fault(at, lasts, kind, node)


@dataclass(slots=True)
class Recorder:
    """Events of the run; appending to a list is atomic."""

    events: list[Event] = field(default_factory=list)
    publishes: dict[str, float] = field(default_factory=dict)
    newest: int = 0


class Callers:
    """Sends reads, bookings with a key through several daemons, and bookings without one."""

    def __init__(self, fleet: Fleet, recorder: Recorder, seed: int) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.seed = seed
        self.stop = threading.Event()
        self.pool = ThreadPoolExecutor(4 * CALLERS)

    def run(self, number: int) -> None:
        """Send requests one after the other until stopped."""
        rng = random.Random(f"{self.seed}/{number}")
        count = 0
        while not self.stop.wait(rng.expovariate(1 / CALL_GAP_SECONDS)):
            count += 1
            request = f"{rng.choice(list(SERVICES.values()))}/{number}-{count}"
            times = 1
            method, key = "GET", ""
            if rng.random() < 0.6:
                method = "POST"
                key = f"key{request}" if rng.random() < 0.8 else ""
                times = rng.randint(1, 3) if key else 1
            nodes = [rng.choice(self.fleet.nodes) for _ in range(times)]
            at_once = rng.random() < 0.5
            sent: list[Future[bool]] = []
            for node in nodes:
                sent.append(self.pool.submit(self.send, node, method, request, key))
                if not at_once and sent[-1].result():
                    break
            for future in sent:
                future.result()

    def send(self, node: Node, method: str, request: str, key: str) -> bool:
        """Send one request and record what becomes of it; return whether it ran."""
        call = uuid.uuid4().hex
        add = self.recorder.events.append
        headers = {"X-Echo": request, **({"Idempotency-Key": key} if key else {})}
        body = None if method == "GET" else b"{}"
        add(Sent(time.time(), call, request, node.name, method == "GET", key))
        try:
            _, found, data = fetch(node.call + request, method, body, headers, CALL_TIMEOUT_SECONDS)
        except (ConnectionError, HTTPException):
            add(Broken(time.time(), call))
            return False
        except (urllib.error.URLError, OSError):
            add(UnknownOutcome(time.time(), call))
            return False
        outcome = found.get("Agatecross-Outcome")
        if outcome == "not-run":
            add(Refused(time.time(), call))
        elif outcome == "ran":
            add(_answered(call, data))
        else:
            add(UnknownOutcome(time.time(), call))
        return outcome == "ran"


def _answered(call: str, data: bytes) -> Answered:
    try:
        return Answered(time.time(), call, json.loads(data)["echo"])
    except (ValueError, KeyError):
        return Answered(time.time(), call, "", False)


def watch_versions(fleet: Fleet, recorder: Recorder, stop: threading.Event) -> None:
    """Record each change of the version in force at a daemon."""
    last: dict[str, tuple[int, str]] = {}
    while not stop.wait(POLL_SECONDS):
        for node in fleet.nodes:
            try:
                url = f"http://{node.admin}/agatecross/v1/status"
                row = json.loads(fetch(url, timeout=0.5)[2])
            except (OSError, HTTPException, ValueError):
                continue
            # A daemon that has just started has no version and refuses every call.
            found = (int(row["version"]), str(row["digest"]))
            if found[0] and last.get(node.name) != found:
                last[node.name] = found
                recorder.events.append(InForce(time.time(), node.name, *found))
                recorder.newest = max(recorder.newest, found[0])


class Publisher:
    """Appends publish records, without waiting for what becomes of them."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.base = next(iter(read_documents(EXAMPLE)))
        self.count = 0

    def publish(self, valid: bool = True) -> None:
        """Append one record that follows the newest version seen; twice when the answer is lost."""
        self.count += 1
        changed = f"timeout_ms = {2_000 + self.count}"
        text = self.base.text.replace("timeout_ms = 2000", changed, 1)
        if not valid:
            text = text.replace('service = "van-booking"', 'service = "no-such-service"', 1)
        publish_id = f"publish-{self.count}"
        document = Document(self.base.name, text)
        parent = Version(self.recorder.newest)
        record = PublishRecord(PublishId(publish_id), parent, RULE_SET, (document,))
        self.recorder.publishes[publish_id] = time.time()
        url = f"http://{self.fleet.log}/streams/config/records"
        for _ in range(2):
            try:
                fetch(url, "POST", encode_record(record), timeout=2.0)
                return
            except (OSError, HTTPException):
                continue


class Injector:
    """Begins and ends the faults of a schedule."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.publisher = Publisher(fleet, recorder)
        self.pool = ThreadPoolExecutor(16)
        self.background: list[Future[None]] = []

    def run(self, faults: Sequence[Fault]) -> None:
        """Carry out the schedule and return when every fault has ended."""
        steps: list[tuple[float, Callable[[Fault], None], Fault]] = []
        for fault in faults:
            steps.append((fault.at, self.begin, fault))
            steps.append((fault.at + fault.lasts, self.end, fault))
        start = time.monotonic()
        for at, step, fault in sorted(steps, key=lambda row: row[0]):
            time.sleep(max(0.0, start + at - time.monotonic()))
            self.background.append(self.pool.submit(step, fault))
        for future in self.background:
            future.result()

    def begin(self, fault: Fault) -> None:
        """Begin a fault."""
        node = self.fleet.nodes[fault.node]
        now = time.time()
        match fault.kind:
            case FaultKind.KILL_DAEMON:
                _running(node.daemon).kill()
            case FaultKind.KILL_UPSTREAM:
                _running(node.upstream).kill()
            case FaultKind.PAUSE_DAEMON:
                _running(node.daemon).send_signal(signal.SIGSTOP)
            case FaultKind.REPLACE_DAEMON:
                self.recorder.events.append(ShutdownBegun(now, node.name))
                _running(node.daemon).send_signal(signal.SIGTERM)
            case FaultKind.DRAIN_UPSTREAM:
                self.fleet.switch_upstream(node, draining=True)
                self.recorder.events.append(Leaving(now, str(node.upstream_port)))
            case FaultKind.LOG_OUTAGE:
                self.fleet.switch_log(outage=True)
            case FaultKind.LOG_SLOW:
                self.fleet.switch_log(delay_ms=700)
            case FaultKind.LOSE_ANSWERS:
                self.fleet.switch_log(lose_answers=3)
            case FaultKind.PUBLISH:
                self.publisher.publish()
            case FaultKind.PUBLISH_RACE:
                for _ in range(3):
                    self.publisher.publish()
            case FaultKind.PUBLISH_INVALID:
                self.publisher.publish(valid=False)

    def end(self, fault: Fault) -> None:
        """End a fault."""
        node = self.fleet.nodes[fault.node]
        match fault.kind:
            case FaultKind.KILL_DAEMON:
                _running(node.daemon).wait()
                self.fleet.start_daemon(node)
            case FaultKind.KILL_UPSTREAM:
                _running(node.upstream).wait()
                self.recorder.events.append(Returned(time.time(), str(node.upstream_port)))
                self.fleet.start_upstream(node)
            case FaultKind.PAUSE_DAEMON:
                _running(node.daemon).send_signal(signal.SIGCONT)
            case FaultKind.REPLACE_DAEMON:
                _running(node.daemon).wait(RECOVERY_SECONDS)
                self.recorder.events.append(ShutdownEnded(time.time(), node.name))
                self.fleet.start_daemon(node)
            case FaultKind.DRAIN_UPSTREAM:
                self.recorder.events.append(Returned(time.time(), str(node.upstream_port)))
                self.fleet.switch_upstream(node, draining=False)
            case FaultKind.LOG_OUTAGE:
                self.fleet.switch_log(outage=False)
            case FaultKind.LOG_SLOW:
                self.fleet.switch_log(delay_ms=0)
            case FaultKind.LOSE_ANSWERS:
                self.fleet.switch_log(lose_answers=0)
            case _:
                pass


def _running(process: subprocess.Popen[bytes] | None) -> subprocess.Popen[bytes]:
    assert process is not None
    return process


def run_faults(seed: int, seconds: float) -> tuple[list[Event], Counter[str]]:
    """Run a fleet under the schedule of a seed and return its history and the fault counts."""
    recorder = Recorder()
    with Fleet() as fleet:
        executions = fleet.directory / "executions.jsonl"
        for site in SITES:
            for service in SERVICES:
                fleet.add_node(site, service, f"--executions_file={executions}")
        fleet.wait_joined()
        recorder.publishes.update(_first_publish(fleet))
        fleet.wait_version(1)
        print(f"files of the run: {fleet.directory}")
        faults = list(schedule(seed, seconds, len(fleet.nodes)))
        callers = Callers(fleet, recorder, seed)
        watching = threading.Event()
        watcher = threading.Thread(target=watch_versions, args=(fleet, recorder, watching))
        threads = [threading.Thread(target=callers.run, args=(n,)) for n in range(CALLERS)]
        for thread in (watcher, *threads):
            thread.start()
        try:
            Injector(fleet, recorder).run(faults)
            callers.stop.set()
            for thread in threads:
                thread.join()
            _settle(fleet, recorder)
        finally:
            callers.stop.set()
            watching.set()
            watcher.join()
        events = [*recorder.events, *_executions(executions)]
        return list(_with_publishes(fleet, recorder, events)), Counter(f.kind.value for f in faults)


def _first_publish(fleet: Fleet) -> dict[str, float]:
    now = time.time()
    result = fleet.cli("publish", str(EXAMPLE))
    if result.returncode:
        raise RuntimeError(f"the first publish failed: {result.stdout}{result.stderr}")
    return {"": now}


def _settle(fleet: Fleet, recorder: Recorder) -> None:
    """Wait until the fleet is whole, then for the time in which versions must be in force."""
    fleet.wait_joined(RECOVERY_SECONDS)
    last = max(recorder.publishes.values())
    time.sleep(max(0.0, last + IN_FORCE_SECONDS - time.time()) + 10 * POLL_SECONDS)
    names = frozenset(node.name for node in fleet.nodes)
    newest = _newest_version(fleet)
    try:
        fleet.wait_version(newest, seconds=IN_FORCE_SECONDS)
    except TimeoutError as error:
        print(f"not settled: {error}")
    time.sleep(10 * POLL_SECONDS)
    recorder.events.append(Undisturbed(time.time(), names))


def _records(fleet: Fleet) -> Iterator[PublishRecord | SnapshotRecord]:
    url = f"http://{fleet.log}/streams/config/records?start=0&limit=100000"
    for row in json.loads(fetch(url)[2])["entries"]:
        try:
            yield decode_record(base64.b64decode(row["data"]), PublishRecord | SnapshotRecord)  # type: ignore[arg-type]
        except MessageDecodeError:
            continue


def _accepted(fleet: Fleet) -> Iterator[tuple[PublishRecord, MeshSnapshot]]:
    state = ConfigState()
    for record in _records(fleet):
        step = fold(state, record, decode_toml)
        state = step.state
        if step.snapshot is not None and isinstance(record, PublishRecord):
            yield record, step.snapshot


def _newest_version(fleet: Fleet) -> int:
    return max(snapshot.version for _, snapshot in _accepted(fleet))


def _with_publishes(fleet: Fleet, recorder: Recorder, events: list[Event]) -> Iterator[Event]:
    """Yield the events, the accepted versions, and what each version in force routes."""
    snapshots: dict[int, MeshSnapshot] = {}
    first = recorder.publishes[""]
    for record, snapshot in _accepted(fleet):
        snapshots[snapshot.version] = snapshot
        at = recorder.publishes.get(record.publish_id, first)
        yield Published(at, snapshot.version, snapshot.digest)
    places = {node.name: DataCentreName(node.site.data_centre) for node in fleet.nodes}
    for event in events:
        if not isinstance(event, InForce) or event.version not in snapshots:
            yield event
            continue
        site = snapshots[event.version].sites[places[event.daemon]]
        routed = frozenset(route.service for route in site.routes)
        known = frozenset(site.services)
        yield InForce(event.at, event.daemon, event.version, event.digest, routed, known)


def _executions(file: Path) -> Iterator[Started]:
    for line in file.read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        yield Started(row["started_at"], row["path"], str(row["port"]))


def main(argv: Sequence[str]) -> None:
    """Run the faults, print counts and violations, and exit with code 1 on any violation."""
    del argv
    events, faults = run_faults(SEED.value, SECONDS.value)
    for name, count in sorted(faults.items()):
        print(f"fault {name}: {count}")
    for name, count in sorted(Counter(type(event).__name__ for event in events).items()):
        print(f"events {name}: {count}")
    violations = list(check_history(events))
    for violation in violations:
        print(violation)
    print(f"seed {SEED.value}: {len(violations)} violations")
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app.run(main)
