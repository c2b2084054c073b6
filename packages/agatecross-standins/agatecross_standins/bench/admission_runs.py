"""Fleets, arrivals and reports that the admission benchmarks share."""

import json
import random
import statistics
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path

from agatecross_core.calls.model import Request
from agatecross_core.ids import Address, Millis

from ..fleet import Fleet, Node, Site
from ..load import PlannedCall, Sample

REPOSITORY_ROOT = Path(__file__).resolve().parents[4]
ANSWER_TIMEOUT = Millis(10_000)


@dataclass(frozen=True, slots=True)
class Deployment:
    """One upstream of a deployment, its slots scaled by `scale`; times in milliseconds."""

    name: str
    documents: str
    site: Site
    service: str
    path: str
    slots: int
    scale: str
    work_ms: float
    deadline_ms: float
    long_share: float = 0.0
    long_work_ms: float = 0.0
    long_deadline_ms: float = 0.0

    @property
    def capacity(self) -> float:
        """Return the calls per second that the slots can run."""
        mean = self.work_ms * (1 - self.long_share) + self.long_work_ms * self.long_share
        return self.slots * 1000 / mean


LYSKAEDE = Deployment(
    "lyskaede",
    "lysknude",
    Site("jylland", "aarhus-a"),
    "case-portal",
    "/cases",
    4,
    "slots 17 to 4, 1 of 4 upstreams of 1 of 4 services",
    15.0,
    400.0,
)
KAFESKOOP = Deployment(
    "kafeskoop",
    "kafeskoop",
    Site("marmara", "bursa-a"),
    "catalogue",
    "/catalogue",
    4,
    "slots 12 to 4, 1 of 4 upstreams of 1 of 4 services",
    15.0,
    400.0,
    0.02,
    750.0,
    2000.0,
)


def start_fleets(stack: ExitStack, deployment: Deployment, policies: Iterable[str]) -> list[Fleet]:
    """Start one daemon and upstream for each admission policy; the upstreams do not shed."""
    return [start_fleet(stack, deployment, policy) for policy in policies]


def start_fleet(stack: ExitStack, deployment: Deployment, policy: str) -> Fleet:
    """Start one daemon and upstream with the example configuration in force."""
    fleet = stack.enter_context(Fleet(extra_settings=f'\n[policy]\nadmission = "{policy}"\n'))
    work = f"--work_ms={deployment.work_ms}"
    slots = f"--slots={deployment.slots}"
    fleet.add_node(deployment.site, deployment.service, slots, work, "--noshed")
    publish(fleet, deployment)
    return fleet


def publish(fleet: Fleet, deployment: Deployment) -> None:
    """Put the example configuration of a deployment in force."""
    fleet.wait_joined()
    result = fleet.run_cli("publish", str(REPOSITORY_ROOT / "examples" / deployment.documents))
    if result.returncode:
        raise RuntimeError(f"publish failed: {result.stdout}{result.stderr}")
    fleet.wait_version(1)


def arrivals(
    rate: Callable[[float], float], highest: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    """Yield start times with a rate that varies over time, by thinning."""
    at = rng.expovariate(highest)
    while at < seconds:
        if rng.random() * highest < rate(at):
            yield at
        at += rng.expovariate(highest)


def plan_calls(
    deployment: Deployment, node: Node, times: Iterable[float], rng: random.Random
) -> list[PlannedCall]:
    """Return short calls, and long ones at the share of the deployment."""
    return [
        _planned(deployment, node, at, number, rng.random() < deployment.long_share)
        for number, at in enumerate(times)
    ]


def _planned(deployment: Deployment, node: Node, at: float, number: int, long: bool) -> PlannedCall:
    path = f"{deployment.path}/{number}"
    deadline = deployment.deadline_ms
    if long:
        path = f"{deployment.path}/report?work_ms={deployment.long_work_ms}"
        deadline = deployment.long_deadline_ms
    headers = (("Agatecross-Deadline-Ms", str(deadline)),)
    request = Request("GET", path, headers, b"")
    address = Address(f"127.0.0.1:{node.call_port}")
    return PlannedCall(at, address, request, ANSWER_TIMEOUT, "long" if long else "short")


def is_useful(sample: Sample) -> bool:
    """Return whether the call ran and its answer came within its deadline."""
    deadline = float(sample.planned.request.header("Agatecross-Deadline-Ms") or 0)
    return sample.outcome == "ran" and sample.latency_ms <= deadline


def quantile(values: Iterable[float], q: float) -> float:
    """Return the quantile of raw values by nearest rank; 0 of none."""
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(q * len(rows)))] if rows else 0.0


def median_range(values: Sequence[float]) -> str:
    """Return the median with the lowest and highest value."""
    return f"{statistics.median(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def write_report(name: str, report: object) -> None:
    """Write the figures as JSON under build/."""
    path = REPOSITORY_ROOT / "build" / f"{name}.json"
    path.parent.mkdir(exist_ok=True)
    path.write_text(json.dumps(report, indent=2) + "\n", encoding="utf-8")
    print(f"written to {path}")
