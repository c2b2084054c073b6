"""Callers that send GET and POST requests, and the thread that records versions in force."""

import json
import random
import threading
import time
import urllib.error
import uuid
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPException

from ..fleet import Fleet, Node, fetch
from ..history import (
    Answered,
    Broken,
    InForce,
    Refused,
    Sent,
    UnknownOutcome,
)
from .recorder import Recorder

SERVICE_PATHS = {"van-booking": "/vans", "case-portal": "/cases"}
CALLER_COUNT = 8
MEAN_CALL_GAP_SECONDS = 0.04
CALL_TIMEOUT_SECONDS = 8.0
POLL_INTERVAL_SECONDS = 0.1


class Callers:
    """Sends GET and POST requests; a POST with an idempotency key may go to several daemons."""

    def __init__(self, fleet: Fleet, recorder: Recorder, seed: int) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.seed = seed
        self.stop = threading.Event()
        self.pool = ThreadPoolExecutor(4 * CALLER_COUNT)

    def run(self, number: int) -> None:
        """Send requests sequentially until stopped."""
        rng = random.Random(f"{self.seed}/{number}")
        count = 0
        while not self.stop.wait(rng.expovariate(1 / MEAN_CALL_GAP_SECONDS)):
            count += 1
            request = f"{rng.choice(list(SERVICE_PATHS.values()))}/{number}-{count}"
            submission_count = 1
            method, key = "GET", ""
            if rng.random() < 0.6:
                method = "POST"
                key = f"key{request}" if rng.random() < 0.8 else ""
                submission_count = rng.randint(1, 3) if key else 1
            nodes = [rng.choice(self.fleet.nodes) for _ in range(submission_count)]
            concurrently = rng.random() < 0.5
            sent: list[Future[bool]] = []
            for node in nodes:
                sent.append(self.pool.submit(self.send, node, method, request, key))
                if not concurrently and sent[-1].result():
                    break
            for future in sent:
                future.result()

    def send(self, node: Node, method: str, request: str, key: str) -> bool:
        """Send one request and record its outcome; return whether the response says that it ran."""
        call = uuid.uuid4().hex
        record = self.recorder.events.append
        headers = {"X-Echo": request, **({"Idempotency-Key": key} if key else {})}
        body = None if method == "GET" else b"{}"
        record(Sent(time.time(), call, request, node.name, method == "GET", key))
        try:
            _, response_headers, data = fetch(
                node.call_url + request, method, body, headers, CALL_TIMEOUT_SECONDS
            )
        except (ConnectionError, HTTPException):
            record(Broken(time.time(), call))
            return False
        except (urllib.error.URLError, OSError):
            record(UnknownOutcome(time.time(), call))
            return False
        outcome = response_headers.get("Agatecross-Outcome")
        if outcome == "not-run":
            record(Refused(time.time(), call))
        elif outcome == "ran":
            record(_make_answered(call, data))
        else:
            record(UnknownOutcome(time.time(), call))
        return outcome == "ran"


def _make_answered(call: str, data: bytes) -> Answered:
    try:
        return Answered(time.time(), call, json.loads(data)["echo"])
    except (ValueError, KeyError):
        return Answered(time.time(), call, "", False)


def record_versions(fleet: Fleet, recorder: Recorder, stop: threading.Event) -> None:
    """Record each change of the version in force at a daemon."""
    last: dict[str, tuple[int, str]] = {}
    while not stop.wait(POLL_INTERVAL_SECONDS):
        for node in fleet.nodes:
            try:
                url = f"http://{node.admin_address}/agatecross/v1/status"
                row = json.loads(fetch(url, timeout=0.5)[2])
            except (OSError, HTTPException, ValueError):
                continue
            # A daemon that has just started has version 0, none in force, and refuses every call.
            current = (int(row["version"]), str(row["digest"]))
            if current[0] and last.get(node.name) != current:
                last[node.name] = current
                recorder.events.append(InForce(time.time(), node.name, *current))
                recorder.newest_version = max(recorder.newest_version, current[0])
