"""Open-loop load: calls start on a schedule, and latency counts from the intended start."""

import asyncio
import random
import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_core.calls.model import Request
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, Millis

MAX_LATENCY_MICROS = 120_000_000


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """A call to send `at` seconds after the start of the run."""

    at: float
    address: Address
    request: Request
    timeout: Millis
    kind: str = ""


@dataclass(frozen=True, slots=True)
class Sample:
    """Result of a planned call; the latency counts from its intended start.

    `outcome` is that of the response, `none` if the response states none, or `no-answer` if there
    was no response.
    """

    planned: PlannedCall
    latency_ms: float
    status: int
    outcome: str
    body: bytes


@dataclass(frozen=True, slots=True)
class Summary:
    """Statistics of a set of samples; latencies of the calls that ran, in milliseconds."""

    calls: int
    ran: int
    not_run: int
    unknown: int
    p50: float
    p99: float
    p999: float


def poisson_times(rate: float, seconds: float, rng: random.Random) -> Iterator[float]:
    """Yield the start times of a Poisson process; `rate` in calls per second."""
    at = rng.expovariate(rate)
    while at < seconds:
        yield at
        at += rng.expovariate(rate)


async def run_load(plan: Iterable[PlannedCall]) -> list[Sample]:
    """Send each call at its time, independently of the other calls."""
    client = TornadoHttpClient(max_idle=1024)
    start = time.monotonic()
    tasks: list[asyncio.Task[Sample]] = []
    for planned in plan:
        delay = start + planned.at - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.ensure_future(_send(client, planned, start)))
    samples = await asyncio.gather(*tasks)
    client.close()
    return list(samples)


async def _send(client: TornadoHttpClient, planned: PlannedCall, start: float) -> Sample:
    status, outcome, body = 0, "no-answer", b""
    try:
        response = await client.send(planned.address, planned.request, planned.timeout)
        status, body = response.status, response.body
        outcome = response.header("Agatecross-Outcome") or "none"
    except ExchangeError:
        pass
    latency = (time.monotonic() - start - planned.at) * 1000
    return Sample(planned, latency, status, outcome, body)


def summarise(samples: Sequence[Sample]) -> Summary:
    """Count the outcomes and compute the latency quantiles of the calls that ran."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROS, 3)
    ran = [sample for sample in samples if sample.outcome == "ran"]
    for sample in ran:
        histogram.record_value(max(1, int(sample.latency_ms * 1000)))
    quantiles = [histogram.get_value_at_percentile(q) / 1000 for q in (50.0, 99.0, 99.9)]
    not_run = sum(1 for sample in samples if sample.outcome == "not-run")
    unknown = len(samples) - len(ran) - not_run
    return Summary(len(samples), len(ran), not_run, unknown, *quantiles)
