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
    MAX_IN_FORCE_DELAY_SECONDS,
    Event,
    InForce,
    Published,
    Started,
    Undisturbed,
)
from .callers import SERVICE_PATHS, Callers, record_versions
from .injector import EXAMPLE_DIRECTORY, Injector
from .recorder import Recorder
from .schedule import schedule

SITES = (
    Site("jylland", "aarhus-a"),
    Site("jylland", "aalborg-b"),
    Site("sjaelland", "koebenhavn-a"),
    Site("sjaelland", "roskilde-b"),
)
CALLER_COUNT = 8
POLL_INTERVAL_SECONDS = 0.1
RECOVERY_TIMEOUT_SECONDS = 60.0


def run_faults(seed: int, seconds: float) -> tuple[list[Event], Counter[str]]:
    """Run a fleet under the schedule of a seed; return its history and the number of each fault."""
    recorder = Recorder()
    with Fleet() as fleet:
        executions = fleet.directory / "executions.jsonl"
        for site in SITES:
            for service in SERVICE_PATHS:
                fleet.add_node(site, service, f"--executions_file={executions}")
        fleet.wait_joined()
        recorder.publishes.update(_first_publish(fleet))
        fleet.wait_version(1)
        print(f"files of the run: {fleet.directory}")
        faults = list(schedule(seed, seconds, len(fleet.nodes)))
        callers = Callers(fleet, recorder, seed)
        stop_watching = threading.Event()
        watcher = threading.Thread(target=record_versions, args=(fleet, recorder, stop_watching))
        threads = [threading.Thread(target=callers.run, args=(n,)) for n in range(CALLER_COUNT)]
        for thread in (watcher, *threads):
            thread.start()
        try:
            Injector(fleet, recorder).run(faults)
            callers.stop.set()
            for thread in threads:
                thread.join()
            _wait_until_settled(fleet, recorder)
        finally:
            callers.stop.set()
            stop_watching.set()
            watcher.join()
        events = [*recorder.events, *_read_executions(executions)]
        return list(_complete_events(fleet, recorder, events)), Counter(
            f.kind.value for f in faults
        )


def _first_publish(fleet: Fleet) -> dict[str, float]:
    now = time.time()
    result = fleet.run_cli("publish", str(EXAMPLE_DIRECTORY))
    if result.returncode:
        raise RuntimeError(f"the first publish failed: {result.stdout}{result.stderr}")
    return {"": now}


def _wait_until_settled(fleet: Fleet, recorder: Recorder) -> None:
    """Wait until all nodes have joined and the newest version is due to be in force everywhere."""
    fleet.wait_joined(RECOVERY_TIMEOUT_SECONDS)
    last = max(recorder.publishes.values())
    time.sleep(
        max(0.0, last + MAX_IN_FORCE_DELAY_SECONDS - time.time()) + 10 * POLL_INTERVAL_SECONDS
    )
    names = frozenset(node.name for node in fleet.nodes)
    newest_version = _newest_version(fleet)
    try:
        fleet.wait_version(newest_version, seconds=MAX_IN_FORCE_DELAY_SECONDS)
    except TimeoutError as error:
        print(f"fleet did not settle: {error}")
    time.sleep(10 * POLL_INTERVAL_SECONDS)
    recorder.events.append(Undisturbed(time.time(), names))


def _read_records(fleet: Fleet) -> Iterator[PublishRecord | SnapshotRecord]:
    url = f"http://{fleet.log_address}/streams/config/records?start=0&limit=100000"
    for row in json.loads(fetch(url)[2])["entries"]:
        try:
            yield decode_record(base64.b64decode(row["data"]), PublishRecord | SnapshotRecord)  # type: ignore[arg-type]
        except MessageDecodeError:
            continue


def _accepted_publishes(fleet: Fleet) -> Iterator[tuple[PublishRecord, MeshConfig]]:
    state = ConfigState()
    for record in _read_records(fleet):
        step = fold(state, record, decode_toml)
        state = step.state
        if step.mesh_config is not None and isinstance(record, PublishRecord):
            yield record, step.mesh_config


def _newest_version(fleet: Fleet) -> int:
    return max(mesh_config.version for _, mesh_config in _accepted_publishes(fleet))


def _complete_events(fleet: Fleet, recorder: Recorder, events: list[Event]) -> Iterator[Event]:
    """Yield the accepted publishes and the events, with the services of each version in force."""
    mesh_configs: dict[int, MeshConfig] = {}
    first = recorder.publishes[""]
    for record, mesh_config in _accepted_publishes(fleet):
        mesh_configs[mesh_config.version] = mesh_config
        at = recorder.publishes.get(record.publish_id, first)
        yield Published(at, mesh_config.version, mesh_config.digest)
    data_centres = {node.name: DataCentreName(node.site.data_centre) for node in fleet.nodes}
    for event in events:
        if not isinstance(event, InForce) or event.version not in mesh_configs:
            yield event
            continue
        site = mesh_configs[event.version].sites[data_centres[event.daemon]]
        routed = frozenset(route.service for route in site.routes)
        known = frozenset(site.services)
        yield InForce(event.at, event.daemon, event.version, event.digest, routed, known)


def _read_executions(file: Path) -> Iterator[Started]:
    for line in file.read_text(encoding="utf-8").splitlines():
        row = json.loads(line)
        yield Started(row["started_at"], row["path"], str(row["port"]))
