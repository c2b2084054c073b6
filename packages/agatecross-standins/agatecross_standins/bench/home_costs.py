"""Measures what the home of customers spends on reports over the control channel.

Run with `python -m agatecross_standins.bench.home_costs --reporters=0,10,40`. A daemon answers;
the reporters share one process and one connection, so the cost of many connections is not in it.
"""

import asyncio
import shutil
import tempfile
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import psutil
from absl import app, flags

from agatecross_adapters.control_nng import NngTransport
from agatecross_core.errors import PeerError
from agatecross_core.ids import Address, CustomerName, DaemonId, HomeSlot, Millis, ReportNumber
from agatecross_core.limits.model import REPORT_PERIOD, CustomerUse, LimitReport
from agatecross_core.limits.requests import UseReply, UseRequest

from ..fleet import Fleet
from .idle_fleet import EXAMPLE, running_fleet
from .report import print_table, write_json

REPORTERS = flags.DEFINE_list("reporters", ["0", "10", "40"], "Numbers of daemons that report.")
CUSTOMERS = flags.DEFINE_integer("customers", 6, "Customers in each report.")
SECONDS = flags.DEFINE_float("seconds", 15.0, "Duration of each measurement, in seconds.")
OUTPUT = flags.DEFINE_string("output", "build/bench-home-costs.json", "Path of the JSON results.")

SLOT = HomeSlot("0/1")
TIMEOUT = Millis(2_000)


@dataclass(frozen=True, slots=True)
class HomeUsage:
    """Use of the processor by the home, and the reports that it answered."""

    reporters: int
    answered_per_second: float
    lost: int
    cpu_percent: float


def publish_customers(fleet: Fleet, count: int) -> None:
    """Publish the example configuration with limited customers."""
    with tempfile.TemporaryDirectory() as folder:
        shutil.copytree(EXAMPLE, folder, dirs_exist_ok=True)
        with (Path(folder) / "base.toml").open("a", encoding="utf-8") as base:
            for number in range(count):
                base.write(f'\n[customers.c{number}]\nkeys = ["k{number}"]\nrate_per_second = 40\n')
        result = fleet.run_cli("publish", folder)
    if result.returncode:
        raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")


async def report(transport: NngTransport, home: Address, number: int, until: float) -> list[bool]:
    """Send the reports of one daemon; return for each whether it was answered."""
    answered: list[bool] = []
    await asyncio.sleep(number * 0.0061 % (REPORT_PERIOD / 1000))
    while time.monotonic() < until:
        count = len(answered) + 1
        uses = tuple(
            CustomerUse(CustomerName(f"c{row}"), 2 * count, count, count)
            for row in range(CUSTOMERS.value)
        )
        message = LimitReport(SLOT, ReportNumber(count), False, uses)
        request = UseRequest(DaemonId(f"reporter-{number}"), message)
        due = time.monotonic() + REPORT_PERIOD / 1000
        try:
            reply = await transport.request(home, request, TIMEOUT)
            answered.append(isinstance(reply, UseReply) and reply.answer is not None)
        except PeerError:
            answered.append(False)
        await asyncio.sleep(max(0.0, due - time.monotonic()))
    return answered


async def send_reports(home: Address, reporters: int, seconds: float) -> list[bool]:
    """Send the reports of all daemons."""
    transport = NngTransport()
    until = time.monotonic() + seconds
    rows = await asyncio.gather(*(report(transport, home, i, until) for i in range(reporters)))
    if not reporters:
        await asyncio.sleep(seconds)
    await transport.close()
    return [answered for row in rows for answered in row]


def measure(fleet: Fleet, reporters: int, seconds: float) -> HomeUsage:
    """Return what the daemon of the fleet spends as a home."""
    node = fleet.nodes[0]
    assert node.daemon is not None
    process = psutil.Process(node.daemon.pid)
    before, started = sum(process.cpu_times()[:2]), time.monotonic()
    home = Address(f"127.0.0.1:{node.control_port}")
    answered = asyncio.run(send_reports(home, reporters, seconds))
    elapsed = time.monotonic() - started
    cpu = sum(process.cpu_times()[:2]) - before
    return HomeUsage(reporters, sum(answered) / elapsed, answered.count(False), 100 * cpu / elapsed)


def main(argv: Sequence[str]) -> None:
    """Measure each number of reporters, print the table, and write it as JSON."""
    del argv
    with running_fleet(1) as fleet:
        publish_customers(fleet, CUSTOMERS.value)
        rows = [measure(fleet, int(count), SECONDS.value) for count in REPORTERS.value]
    print_table([asdict(row) for row in rows])
    write_json(OUTPUT.value, {"rows": [asdict(row) for row in rows]})


if __name__ == "__main__":
    app.run(main)
