"""Measures control traffic, CPU time, memory and threads of idle daemons by fleet size.

Run with `python -m agatecross_standins.bench.control --sizes=4,8,16,32,64`. Bytes are the payload
of control messages in both directions, without NNG, TCP and IP headers.
"""

import math
import statistics
import subprocess
import time
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass

import psutil
from absl import app, flags

from ..fleet import Fleet
from .idle_fleet import control_bytes, running_fleet
from .report import print_table, write_json

SIZES = flags.DEFINE_list("sizes", ["4", "8", "16", "32"], "Fleet sizes, in daemons.")
SECONDS = flags.DEFINE_float("seconds", 20.0, "Duration of the measurement, in seconds.")
SETTLE = flags.DEFINE_float("settle", 25.0, "Seconds to wait after the fleet has joined.")
OUTPUT = flags.DEFINE_string("output", "build/bench-control.json", "Path of the JSON results.")

TARGET_FLEET_SIZE = 1_300


@dataclass(frozen=True, slots=True)
class Usage:
    """Means over the daemons of one fleet; `worst_bytes_per_second` is the highest single rate."""

    daemons: int
    bytes_per_second: float
    worst_bytes_per_second: float
    cpu_percent: float
    rss_mib: float
    threads: float


def measure(fleet: Fleet, seconds: float) -> Usage:
    """Return the resources that the daemons use while idle."""
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
    """Fit a column linearly to the size and to its binary logarithm, and extrapolate each fit."""
    values = [float(getattr(row, name)) for row in rows]
    scales: dict[str, Callable[[float], float]] = {"linear": float, "logarithmic": math.log2}
    fits: dict[str, float] = {}
    for label, scale in scales.items():
        slope, offset = statistics.linear_regression([scale(r.daemons) for r in rows], values)
        fits[f"{label}_slope"] = slope
        fits[f"{label}_at_{TARGET_FLEET_SIZE}"] = offset + slope * scale(TARGET_FLEET_SIZE)
    return fits


def main(argv: Sequence[str]) -> None:
    """Measure each size, print the table and the fits, and write them as JSON."""
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
