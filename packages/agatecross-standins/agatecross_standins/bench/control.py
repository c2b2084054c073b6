"""Measures the control traffic, processor time, memory and threads of idle daemons by fleet size.

Run with `python -m agatecross_standins.bench.control --sizes=4,8,16,32,64`. Bytes are payload of
control messages, both directions; NNG, TCP and IP headers are not counted.
"""

import json
import math
import statistics
import subprocess
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path

import psutil
from absl import app, flags

from ..fleet import Fleet, Node, Site, fetch, free_ports

SIZES = flags.DEFINE_list("sizes", ["4", "8", "16", "32"], "Numbers of daemons.")
SECONDS = flags.DEFINE_float("seconds", 20.0, "Length of the measurement.")
SETTLE = flags.DEFINE_float("settle", 25.0, "Wait after the fleet has joined, in seconds.")
OUTPUT = flags.DEFINE_string("output", "build/bench-control.json", "Path of the JSON results.")

SITES = (
    Site("jylland", "aarhus-a"),
    Site("sjaelland", "koebenhavn-a"),
    Site("jylland", "aalborg-b"),
    Site("sjaelland", "roskilde-b"),
)
EXAMPLE = "examples/lysknude"
TARGET_SIZE = 1_300
ANNOUNCE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class Usage:
    """Means over the daemons of one fleet; `worst_bytes` is the highest daemon."""

    daemons: int
    bytes_per_second: float
    worst_bytes_per_second: float
    cpu_percent: float
    rss_mib: float
    threads: float


@dataclass(slots=True)
class Announcer:
    """Announces an upstream to each daemon every second, in place of upstream processes."""

    nodes: Sequence[Node]
    stopped: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        """Announce until stopped."""
        while not self.stopped.wait(ANNOUNCE_SECONDS):
            for node in self.nodes:
                self._announce(node)

    def _announce(self, node: Node) -> None:
        body = {
            "service": node.service,
            "address": f"127.0.0.1:{node.upstream_port}",
            "slots": 17,
            "connections": 120,
            "state": "ready",
        }
        try:
            fetch(f"http://{node.admin}/agatecross/v1/upstream", "PUT", json.dumps(body).encode())
        except OSError:
            return


def add_daemon(fleet: Fleet, site: Site, service: str = "case-portal") -> Node:
    """Start a daemon without an upstream process."""
    call, peer, control, admin, upstream = free_ports(5)
    name = f"{site.data_centre}-{service}-{len(fleet.nodes)}"
    node = Node(name, site, service, call, peer, control, admin, upstream)
    fleet.nodes.append(node)
    fleet.start_daemon(node)
    return node


@contextmanager
def running_fleet(size: int, extra_settings: str = "") -> Iterator[Fleet]:
    """Start `size` daemons that know each other and have the example configuration in force."""
    with Fleet(extra_settings=extra_settings) as fleet:
        for index in range(size):
            add_daemon(fleet, SITES[index % len(SITES)])
        announcer = Announcer(fleet.nodes)
        threading.Thread(target=announcer.run, daemon=True).start()
        try:
            fleet.wait_joined(120)
            result = fleet.cli("publish", EXAMPLE)
            if result.returncode:
                raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
            fleet.wait_version(1)
            yield fleet
        finally:
            announcer.stopped.set()


def control_bytes(fleet: Fleet) -> list[int]:
    """Return the control bytes of each daemon since its start, both directions."""
    rows = [fleet.status(node) for node in fleet.nodes]
    return [
        int(str(row["control_sent_bytes"])) + int(str(row["control_received_bytes"]))
        for row in rows
    ]


def measure(fleet: Fleet, seconds: float) -> Usage:
    """Return what the daemons use while idle."""
    processes = [psutil.Process(process.pid) for process in _daemons(fleet)]
    before, cpu_before, started = control_bytes(fleet), _cpu_seconds(processes), time.monotonic()
    time.sleep(seconds)
    cpu_after, after = _cpu_seconds(processes), control_bytes(fleet)
    elapsed = time.monotonic() - started
    rates = [(b - a) / elapsed for a, b in zip(before, after, strict=True)]
    return Usage(
        len(processes),
        statistics.mean(rates),
        max(rates),
        100 * (cpu_after - cpu_before) / elapsed / len(processes),
        statistics.mean(p.memory_info().rss for p in processes) / 2**20,
        statistics.mean(p.num_threads() for p in processes),
    )


def _daemons(fleet: Fleet) -> list["subprocess.Popen[bytes]"]:
    return [node.daemon for node in fleet.nodes if node.daemon is not None]


def _cpu_seconds(processes: Sequence[psutil.Process]) -> float:
    return float(sum(sum(process.cpu_times()[:2]) for process in processes))


def extrapolate(rows: Sequence[Usage], name: str) -> dict[str, float]:
    """Fit a column against the size and its binary logarithm, each with the value at the target."""
    values = [float(getattr(row, name)) for row in rows]
    scales: dict[str, Callable[[float], float]] = {"linear": float, "logarithmic": math.log2}
    fits: dict[str, float] = {}
    for label, scale in scales.items():
        slope, offset = statistics.linear_regression([scale(r.daemons) for r in rows], values)
        fits[f"{label}_slope"] = slope
        fits[f"{label}_at_{TARGET_SIZE}"] = offset + slope * scale(TARGET_SIZE)
    return fits


def print_table(rows: Sequence[dict[str, object]]) -> None:
    """Print rows with equal keys as an aligned table."""
    names = list(rows[0])
    cells = [[_cell(row[name]) for name in names] for row in rows]
    widths = [max(len(name), *(len(c[i]) for c in cells)) for i, name in enumerate(names)]
    for line in [names, *cells]:
        print("  ".join(text.rjust(width) for text, width in zip(line, widths, strict=True)))


def _cell(value: object) -> str:
    return f"{value:.2f}" if isinstance(value, float) else str(value)


def write_json(path: str, results: object) -> None:
    """Write the results, creating the directory."""
    target = Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_text(json.dumps(results, indent=2) + "\n", encoding="utf-8")


def main(argv: Sequence[str]) -> None:
    """Measure each size and print the table and the fits."""
    del argv
    rows: list[Usage] = []
    for size in SIZES.value:
        with running_fleet(int(size)) as fleet:
            time.sleep(SETTLE.value)
            rows.append(measure(fleet, SECONDS.value))
            print_table([asdict(rows[-1])])
    print_table([asdict(row) for row in rows])
    fits: list[dict[str, object]] = []
    if len(rows) > 1:
        for name in ("bytes_per_second", "cpu_percent", "rss_mib", "threads"):
            fits.append({"figure": name, **extrapolate(rows, name)})
        print_table(fits)
    write_json(OUTPUT.value, {"rows": [asdict(row) for row in rows], "fits": fits})


if __name__ == "__main__":
    app.run(main)
