"""Runs a fleet under a schedule of faults and returns its history."""

import base64
import json
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from agatecross_adapters.codec import decode_record
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.fold import fold
from agatecross_core.config.model import (
    ConfigState,
    MeshConfig,
    PublishRecord,
    SnapshotRecord,
)
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import DataCentreName

from ..fleet import Fleet, Site, fetch
from ..history import (
    IN_FORCE_SECONDS,
    Event,
    InForce,
    Published,
    Started,
    Undisturbed,
)
from .callers import SERVICES, Callers, watch_versions
from .injector import EXAMPLE, Injector
from .recorder import Recorder
from .schedule import schedule

SITES = (
    Site("jylland", "aarhus-a"),
    Site("jylland", "aalborg-b"),
    Site("sjaelland", "koebenhavn-a"),
    Site("sjaelland", "roskilde-b"),
)
CALLERS = 8
POLL_SECONDS = 0.1
RECOVERY_SECONDS = 60.0


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


def _accepted(fleet: Fleet) -> Iterator[tuple[PublishRecord, MeshConfig]]:
    state = ConfigState()
    for record in _records(fleet):
        step = fold(state, record, decode_toml)
        state = step.state
        if step.mesh_config is not None and isinstance(record, PublishRecord):
            yield record, step.mesh_config


def _newest_version(fleet: Fleet) -> int:
    return max(snapshot.version for _, snapshot in _accepted(fleet))


def _with_publishes(fleet: Fleet, recorder: Recorder, events: list[Event]) -> Iterator[Event]:
    """Yield the events, the accepted versions, and what each version in force routes."""
    snapshots: dict[int, MeshConfig] = {}
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
