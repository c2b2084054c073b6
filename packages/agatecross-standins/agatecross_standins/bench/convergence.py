"""Measures the time from a publish until it is in force everywhere, and its control traffic.

Run with `python -m agatecross_standins.bench.convergence --sizes=4,8,16,32`. One run measures each
mode: `peers` is the default, in `log` every daemon reads the log, and `full` sends all documents on
each change. Bytes are the payload of control messages in both directions, over all daemons.
"""

import json
import statistics
import time
import uuid
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from absl import app, flags

from agatecross_adapters.codec import encode_record
from agatecross_cli.documents import read_documents
from agatecross_core.config.documents import Document
from agatecross_core.config.model import PublishRecord
from agatecross_core.constants import CONFIG_STREAM, RULE_SET_VERSION
from agatecross_core.ids import PublishId, Version

from ..fleet import Fleet, Node, fetch
from .idle_fleet import EXAMPLE, control_bytes, running_fleet
from .report import print_table, write_json

SIZES = flags.DEFINE_list("sizes", ["4", "8", "16", "32"], "Fleet sizes, in daemons.")
MODES = flags.DEFINE_list("modes", ["peers", "log", "full"], "Distribution modes.")
PUBLISHES = flags.DEFINE_integer("publishes", 6, "Number of publishes for each size and mode.")
DOCUMENT_BYTES = flags.DEFINE_integer("document_bytes", 4096, "Size of each padded document.")
SETTLE = flags.DEFINE_float("settle", 12.0, "Seconds to wait after the fleet has joined.")
OUTPUT = flags.DEFINE_string("output", "build/bench-convergence.json", "Path of the JSON results.")

IDLE_SECONDS = 4.0
AFTER_PUBLISH_SECONDS = 2.0
POLL_INTERVAL_SECONDS = 0.02
IN_FORCE_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Convergence:
    """Medians over the publishes of one fleet; `worst_seconds` is the maximum.

    `log_reads` counts the reads from a publish until 2 s after it was in force everywhere.
    """

    daemons: int
    mode: str
    seconds: float
    worst_seconds: float
    control_kib: float
    control_kib_per_daemon: float
    log_reads: float


def publish(fleet: Fleet, documents: Sequence[Document], parent: int) -> None:
    """Append a publish record to the log."""
    record = PublishRecord(
        PublishId(uuid.uuid4().hex), Version(parent), RULE_SET_VERSION, tuple(documents), ()
    )
    url = f"http://{fleet.log_address}/streams/{CONFIG_STREAM}/records"
    status, _, body = fetch(url, "POST", encode_record(record))
    if status != 200:
        raise RuntimeError(f"append failed: {status} {body!r}")


def pad_document(document: Document, revision: int) -> Document:
    """Return the document padded with a comment that names the revision."""
    line = f"# revision {revision:06d} {'.' * 60}\n"
    missing = max(0, DOCUMENT_BYTES.value - len(document.text))
    return Document(document.name, document.text + "\n" + line * (1 + missing // len(line)))


def wait_in_force(fleet: Fleet, version: int) -> None:
    """Wait until every daemon has the version, polling only the daemons that are behind."""
    waiting = list(fleet.nodes)
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_SECONDS

    def is_outdated(node: Node) -> bool:
        return int(str(fleet.status(node)["version"])) < version

    with ThreadPoolExecutor(8) as pool:
        while waiting:
            if time.monotonic() > deadline:
                raise TimeoutError(f"version {version} is not in force on {len(waiting)} daemons")
            rows = pool.map(is_outdated, waiting)
            waiting = [node for node, outdated in zip(waiting, rows, strict=True) if outdated]
            time.sleep(POLL_INTERVAL_SECONDS)


def log_reads(fleet: Fleet) -> int:
    """Return the number of reads that the log service has served."""
    return int(json.loads(fetch(f"http://{fleet.log_address}/switches")[2])["reads"])


def measure(fleet: Fleet, mode: str) -> Convergence:
    """Publish one changed overlay at a time and return the medians."""
    documents = list(read_documents(Path(EXAMPLE)))
    publish(fleet, [pad_document(document, 0) for document in documents], 1)
    wait_in_force(fleet, 2)
    time.sleep(AFTER_PUBLISH_SECONDS)
    idle_start_bytes, started = sum(control_bytes(fleet)), time.monotonic()
    time.sleep(IDLE_SECONDS)
    idle_rate = (sum(control_bytes(fleet)) - idle_start_bytes) / (time.monotonic() - started)
    seconds, traffic, reads = [], [], []
    for number in range(PUBLISHES.value):
        before, reads_before, started = (
            sum(control_bytes(fleet)),
            log_reads(fleet),
            time.monotonic(),
        )
        publish(fleet, [pad_document(documents[-1], number + 1)], number + 2)
        wait_in_force(fleet, number + 3)
        seconds.append(time.monotonic() - started)
        time.sleep(AFTER_PUBLISH_SECONDS)
        reads.append(log_reads(fleet) - reads_before)
        idle = idle_rate * (time.monotonic() - started)
        traffic.append(sum(control_bytes(fleet)) - before - idle)
    kib = statistics.median(traffic) / 1024
    size = len(fleet.nodes)
    median, worst = statistics.median(seconds), max(seconds)
    return Convergence(size, mode, median, worst, kib, kib / size, statistics.median(reads))


def main(argv: Sequence[str]) -> None:
    """Measure each size and mode, print the table and write it as JSON."""
    del argv
    rows: list[dict[str, object]] = []
    for size in SIZES.value:
        for mode in MODES.value:
            with running_fleet(int(size), f'[policy]\ndistribution = "{mode}"\n') as fleet:
                time.sleep(SETTLE.value)
                rows.append(asdict(measure(fleet, mode)))
                print_table(rows[-1:])
    print_table(rows)
    write_json(OUTPUT.value, rows)


if __name__ == "__main__":
    app.run(main)
