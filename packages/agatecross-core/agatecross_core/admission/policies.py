"""Admission policies and their selection by name."""

from collections import deque
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from ..calls.model import Call
from ..constants import QUEUED_CALLS_PER_SLOT
from ..ids import CallId, Millis
from ..states import Reason
from .model import (
    AdmissionAction,
    AdmissionMessage,
    CallArrived,
    CallCancelled,
    CallFinished,
    CapacityAnnounced,
    DaemonLeaving,
    LeaseExpired,
    RefuseCall,
    StartCall,
    StopCall,
)
from .pipeline import AdaptiveAdmission, Gate


class AdmissionPolicy(Protocol):
    """Decides which calls start, wait or are refused next to one upstream."""

    @property
    def running(self) -> int:
        """Return the number of started calls that have not ended."""
        ...

    @property
    def waiting(self) -> int:
        """Return the number of calls in the queue."""
        ...

    @property
    def slots(self) -> int:
        """Return the number of calls that may run at once."""
        ...

    def handle(self, message: AdmissionMessage, now: Millis) -> Iterator[AdmissionAction]:
        """Handle one message and yield the resulting actions."""
        ...


class FifoAdmission:
    """Starts calls in order of arrival; if not `bounded`, starts every call at once."""

    def __init__(self, bounded: bool) -> None:
        self.bounded = bounded
        self.gate = Gate()
        self.slots = 0
        self.started: dict[CallId, Call] = {}
        self.queue: deque[Call] = deque()

    @property
    def running(self) -> int:
        """Return the number of started calls that have not ended."""
        return len(self.started)

    @property
    def waiting(self) -> int:
        """Return the number of calls in the queue."""
        return len(self.queue)

    def handle(self, message: AdmissionMessage, now: Millis) -> Iterator[AdmissionAction]:
        """Handle one message and yield the resulting actions."""
        match message:
            case CallArrived(call):
                yield from self._admit(call)
            case CallFinished(call_id):
                self.started.pop(call_id, None)
            case CallCancelled(call_id):
                yield from self._cancel(call_id)
            case CapacityAnnounced(slots, connections, state):
                self.gate.state = state
                self.slots = min(slots, connections)
            case LeaseExpired():
                self.gate.state = None
            case DaemonLeaving():
                self.gate.leaving = True
        yield from self._start_waiting(now)

    def _admit(self, call: Call) -> Iterator[AdmissionAction]:
        free = max(0, self.slots - self.running)
        if self.bounded and self.waiting >= self.slots * QUEUED_CALLS_PER_SLOT + free:
            yield RefuseCall(call.call_id, Reason.QUEUE_FULL)
        else:
            self.queue.append(call)

    def _cancel(self, call_id: CallId) -> Iterator[AdmissionAction]:
        if call_id not in self.started:
            self.queue = deque(call for call in self.queue if call.call_id != call_id)
        elif self.started[call_id].idempotent:
            yield StopCall(call_id)

    def _start_waiting(self, now: Millis) -> Iterator[AdmissionAction]:
        while self.queue:
            reason = self.gate.reason()
            if reason is None and self.bounded and self.running >= self.slots:
                return
            call = self.queue.popleft()
            if reason is None and call.deadline <= now:
                reason = Reason.DEADLINE
            if reason is not None:
                yield RefuseCall(call.call_id, reason)
                continue
            self.started[call.call_id] = call
            yield StartCall(call)


POLICIES: Mapping[str, Callable[[], AdmissionPolicy]] = {
    "adaptive": AdaptiveAdmission,
    "fixed": lambda: FifoAdmission(bounded=True),
    "none": lambda: FifoAdmission(bounded=False),
}


def new_admission(name: str) -> AdmissionPolicy:
    """Create the policy with this name; raises `KeyError` for an unknown name."""
    return POLICIES[name]()
