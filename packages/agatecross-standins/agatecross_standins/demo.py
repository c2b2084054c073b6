"""Runs a small fleet end to end and prints a table of the outcomes of the calls."""

import asyncio
import json
import random
import shutil
import sys
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, replace
from pathlib import Path

from absl import app, flags

from agatecross_core.calls.model import Request
from agatecross_core.ids import Address, Millis

from .fleet import Fleet, LinkShape, Node, Site, fetch, wait_until
from .load import PlannedCall, Sample, poisson_times, run_load, summarise

SECONDS = flags.DEFINE_float("seconds", 12.0, "Duration of the load, in seconds.")
RATE = flags.DEFINE_float("rate", 120.0, "Total calls per second.")
SEED = flags.DEFINE_integer("seed", 1, "Seed of the load.")

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
NODE_SITES = (
    (Site("jylland", "aarhus-a"), "case-portal"),
    (Site("jylland", "aarhus-a"), "van-booking"),
    (Site("jylland", "aalborg-b"), "untangling-queue"),
    (Site("jylland", "aalborg-b"), "crew-completion"),
    (Site("sjaelland", "koebenhavn-a"), "case-portal"),
    (Site("sjaelland", "koebenhavn-a"), "van-booking"),
    (Site("sjaelland", "roskilde-b"), "untangling-queue"),
    (Site("sjaelland", "roskilde-b"), "crew-completion"),
)
READ_PATHS = ("/cases/{}", "/queue/{}")
WRITE_PATHS = ("/vans/{}", "/strands/{}")
WRITE_SHARE = 0.2
CALL_TIMEOUT = Millis(10_000)


@dataclass(frozen=True, slots=True)
class DemoFigures:
    """Results shown in the final table; `control_rates` is in bytes per second."""

    samples: tuple[Sample, ...]
    duplicated: int
    in_force_seconds: tuple[float, ...]
    control_rates: tuple[float, ...]
    link_bytes: int


def plan_calls(
    nodes: Sequence[Node], seconds: float, rate: float, seed: int
) -> Iterator[PlannedCall]:
    """Yield reads and writes; each write has a unique path and idempotency key."""
    rng = random.Random(seed)
    for number, at in enumerate(poisson_times(rate, seconds, rng)):
        address = Address(f"127.0.0.1:{rng.choice(nodes).call_port}")
        if rng.random() < WRITE_SHARE:
            path = rng.choice(WRITE_PATHS).format(number)
            headers = (("Idempotency-Key", f"demo-{seed}-{number}"),)
            request = Request("POST", path, headers, b"{}")
        else:
            request = Request("GET", rng.choice(READ_PATHS).format(number), (), b"")
        yield PlannedCall(at, address, request, CALL_TIMEOUT, request.method)


def run_demo(seconds: float, rate: float, seed: int) -> DemoFigures:
    """Run the fleet under load, publish twice, replace a daemon and return the figures."""
    folder = Path(tempfile.mkdtemp(prefix="agatecross-demo-")) / "lysknude"
    shutil.copytree(EXAMPLES / "lysknude", folder)
    with Fleet(link=LinkShape("jylland")) as fleet:
        print(f"starting {len(NODE_SITES)} daemons and upstreams in 2 regions")
        fleet.start_link(NODE_SITES)
        fleet.start_planned_nodes()
        fleet.wait_joined()
        publish_seconds = [publish(fleet, folder)]
        replaced, called_nodes = fleet.nodes[2], [*fleet.nodes[:2], *fleet.nodes[3:]]
        samples: list[Sample] = []
        plan = list(plan_calls(called_nodes, seconds, rate, seed))
        load = threading.Thread(target=lambda: samples.extend(asyncio.run(run_load(plan))))
        started = time.monotonic()
        before = control_bytes(fleet)
        load.start()
        time.sleep(seconds / 4)
        change_timeout(folder)
        publish_seconds.append(publish(fleet, folder))
        print(f"replacing daemon {replaced.name}")
        exit_code = fleet.stop_daemon(replaced)
        print(f"the replaced daemon exited with code {exit_code}")
        fleet.start_daemon(replaced)
        wait_until(lambda: is_ready(replaced), f"{replaced.name} to be ready")
        load.join()
        elapsed = time.monotonic() - started
        rates = [
            (after - old) / elapsed
            for node, after, old in zip(fleet.nodes, control_bytes(fleet), before, strict=True)
            if node is not replaced
        ]
        figures = DemoFigures(
            tuple(samples),
            count_duplicates(fleet),
            tuple(publish_seconds),
            tuple(rates),
            sum(fleet.link_payload_bytes()),
        )
    if exit_code:
        raise RuntimeError(f"the replaced daemon exited with code {exit_code}")
    return figures


def change_timeout(folder: Path) -> None:
    """Change a timeout in the base document, so that there is a second version to publish."""
    base = folder / "base.toml"
    text = base.read_text(encoding="utf-8")
    base.write_text(text.replace("timeout_ms = 2000", "timeout_ms = 2500", 1), encoding="utf-8")


def publish(fleet: Fleet, folder: Path) -> float:
    """Publish and return the seconds until the command found the version in force everywhere."""
    started = time.monotonic()
    result = fleet.run_cli("publish", str(folder))
    print(result.stdout.strip())
    if result.returncode:
        raise RuntimeError(f"publish exited with code {result.returncode}: {result.stderr}")
    return time.monotonic() - started


def is_ready(node: Node) -> bool:
    """Return whether a daemon is ready for calls."""
    return fetch(f"http://{node.admin_address}/agatecross/v1/ready")[0] == 200


def control_bytes(fleet: Fleet) -> list[int]:
    """Return the control payload bytes of each daemon, sent and received."""
    rows = [fleet.status(node) for node in fleet.nodes]
    return [int(str(r["control_sent_bytes"])) + int(str(r["control_received_bytes"])) for r in rows]


def count_duplicates(fleet: Fleet) -> int:
    """Return the number of writes that ran more than once."""
    runs = Counter(
        str(row["path"])
        for node in fleet.nodes
        for row in fleet.executions(node)
        if row["method"] == "POST"
    )
    return sum(1 for count in runs.values() if count > 1)


def format_table(figures: DemoFigures) -> Iterator[str]:
    """Yield the lines of the final table."""
    summary = summarise(figures.samples)
    yield f"calls sent                     {summary.calls}"
    yield f"answered                       {summary.ran}"
    yield f"refused as not run             {summary.not_run}"
    yield f"lost (unknown or no answer)    {summary.unknown}"
    yield f"duplicated                     {figures.duplicated}"
    yield f"latency p50 / p99              {summary.p50:.1f} / {summary.p99:.1f} ms"
    seconds = " / ".join(f"{value:.2f}" for value in figures.in_force_seconds)
    yield f"publish command, start to end  {seconds} s"
    mean = sum(figures.control_rates) / len(figures.control_rates)
    yield f"control payload per daemon     {mean:.0f} B/s (most {max(figures.control_rates):.0f})"
    yield f"payload over the region link   {figures.link_bytes / 1024:.0f} KiB"


def main(argv: Sequence[str]) -> None:
    """Run the demo; exit with code 1 if a call was lost or duplicated."""
    del argv
    figures = run_demo(SECONDS.value, RATE.value, SEED.value)
    print("\n".join(format_table(figures)))
    failed = [sample for sample in figures.samples if sample.outcome not in ("ran", "not-run")]
    for sample in failed[:10]:
        shown = replace(sample.planned.request, headers=(), body=b"")
        print(json.dumps({"lost": shown.path, "status": sample.status, "as": sample.outcome}))
    sys.exit(1 if failed or figures.duplicated else 0)


if __name__ == "__main__":
    app.run(main)
