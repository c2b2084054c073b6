"""Begins and ends the faults of a schedule."""

import signal
import subprocess
import time
from collections import defaultdict
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from http.client import HTTPException
from pathlib import Path

from agatecross_adapters.codec import encode_record
from agatecross_cli.documents import read_documents
from agatecross_core.config.documents import Document
from agatecross_core.config.model import PublishRecord
from agatecross_core.constants import RULE_SET_VERSION
from agatecross_core.ids import PublishId, Version

from ..fleet import Fleet, Node, fetch, wait_until
from ..history import (
    Leaving,
    Returned,
    ShutdownBegun,
    ShutdownEnded,
)
from .recorder import Recorder
from .schedule import Fault, FaultKind, FaultTarget, fault_target

RECOVERY_TIMEOUT_SECONDS = 60.0
EXAMPLE_DIRECTORY = Path(__file__).resolve().parents[4] / "examples" / "lysknude"


class Publisher:
    """Appends publish records without waiting for their result."""

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.base = next(iter(read_documents(EXAMPLE_DIRECTORY)))
        self.count = 0

    def publish(self, valid: bool = True) -> None:
        """Append a record whose parent is the newest version seen; resend it once on no reply."""
        self.count += 1
        changed = f"timeout_ms = {2_000 + self.count}"
        text = self.base.text.replace("timeout_ms = 2000", changed, 1)
        if not valid:
            text = text.replace('service = "van-booking"', 'service = "no-such-service"', 1)
        publish_id = f"publish-{self.count}"
        document = Document(self.base.name, text)
        parent = Version(self.recorder.newest_version)
        record = PublishRecord(PublishId(publish_id), parent, RULE_SET_VERSION, (document,))
        self.recorder.publishes[publish_id] = time.time()
        url = f"http://{self.fleet.log_address}/streams/config/records"
        for _ in range(2):
            try:
                fetch(url, "POST", encode_record(record), timeout=2.0)
                return
            except (OSError, HTTPException):
                continue


class Injector:
    """Begins and ends the faults of a schedule, in order for each target.

    Ending a fault can take as long as a process needs to exit and start. The next fault of the same
    target begins after that, so that no signal or switch reaches a process that is being replaced.
    """

    def __init__(self, fleet: Fleet, recorder: Recorder) -> None:
        self.fleet = fleet
        self.recorder = recorder
        self.publisher = Publisher(fleet, recorder)
        # One thread for each target keeps its steps in order.
        self.executors: defaultdict[FaultTarget, ThreadPoolExecutor] = defaultdict(
            lambda: ThreadPoolExecutor(1)
        )
        self.step_futures: list[Future[None]] = []

    def run(self, faults: Sequence[Fault]) -> None:
        """Inject the faults of the schedule and return when all of them have ended."""
        steps: list[tuple[float, Callable[[Fault], None], Fault]] = []
        for fault in faults:
            steps.append((fault.at, self.begin_fault, fault))
            steps.append((fault.at + fault.duration_seconds, self.end_fault, fault))
        start = time.monotonic()
        for at, step, fault in sorted(steps, key=lambda row: row[0]):
            time.sleep(max(0.0, start + at - time.monotonic()))
            self.step_futures.append(self.executors[fault_target(fault)].submit(step, fault))
        for future in self.step_futures:
            future.result()

    def begin_fault(self, fault: Fault) -> None:
        """Begin a fault."""
        node = self.fleet.nodes[fault.node]
        match fault.kind:
            case FaultKind.KILL_DAEMON:
                _require_process(node.daemon).kill()
            case FaultKind.KILL_UPSTREAM:
                _require_process(node.upstream).kill()
            case FaultKind.PAUSE_DAEMON:
                _require_process(node.daemon).send_signal(signal.SIGSTOP)
            case FaultKind.REPLACE_DAEMON:
                self.recorder.events.append(ShutdownBegun(time.time(), node.name))
                _require_process(node.daemon).send_signal(signal.SIGTERM)
            case FaultKind.DRAIN_UPSTREAM:
                self._set_upstream_switches_when_up(node, draining=True)
                self.recorder.events.append(Leaving(time.time(), str(node.upstream_port)))
            case FaultKind.LOG_OUTAGE:
                self.fleet.set_log_switches(outage=True)
            case FaultKind.LOG_SLOW:
                self.fleet.set_log_switches(delay_ms=700)
            case FaultKind.LOSE_ANSWERS:
                self.fleet.set_log_switches(lose_answers=3)
            case FaultKind.PUBLISH:
                self.publisher.publish()
            case FaultKind.PUBLISH_RACE:
                for _ in range(3):
                    self.publisher.publish()
            case FaultKind.PUBLISH_INVALID:
                self.publisher.publish(valid=False)

    def end_fault(self, fault: Fault) -> None:
        """End a fault."""
        node = self.fleet.nodes[fault.node]
        match fault.kind:
            case FaultKind.KILL_DAEMON:
                _require_process(node.daemon).wait()
                self.fleet.start_daemon(node)
            case FaultKind.KILL_UPSTREAM:
                _require_process(node.upstream).wait()
                self.recorder.events.append(Returned(time.time(), str(node.upstream_port)))
                self.fleet.start_upstream(node)
            case FaultKind.PAUSE_DAEMON:
                _require_process(node.daemon).send_signal(signal.SIGCONT)
            case FaultKind.REPLACE_DAEMON:
                _require_process(node.daemon).wait(RECOVERY_TIMEOUT_SECONDS)
                self.recorder.events.append(ShutdownEnded(time.time(), node.name))
                self.fleet.start_daemon(node)
            case FaultKind.DRAIN_UPSTREAM:
                self.recorder.events.append(Returned(time.time(), str(node.upstream_port)))
                self._set_upstream_switches_when_up(node, draining=False)
            case FaultKind.LOG_OUTAGE:
                self.fleet.set_log_switches(outage=False)
            case FaultKind.LOG_SLOW:
                self.fleet.set_log_switches(delay_ms=0)
            case FaultKind.LOSE_ANSWERS:
                self.fleet.set_log_switches(lose_answers=0)
            case _:
                pass

    def _set_upstream_switches_when_up(self, node: Node, **switches: object) -> None:
        """Set switches of an upstream, which may still be starting after an earlier fault."""

        def switched() -> bool:
            self.fleet.set_upstream_switches(node, **switches)
            return True

        wait_until(switched, f"the upstream of {node.name} to answer")


def _require_process(process: subprocess.Popen[bytes] | None) -> subprocess.Popen[bytes]:
    assert process is not None
    return process
