"""The bounded queue in front of the upstream's slots."""

from collections import deque
from collections.abc import Iterator

from ..calls.model import Call
from ..constants import QUEUE_SLOTS_FACTOR
from ..ids import CallId, Millis
from ..states import Reason
from .model import AdmissionAction, RefuseCall, StartCall


class AdmissionQueue:
    """Decides which calls start, wait or are refused; holds at most `slots` running calls."""

    def __init__(self, slots: int) -> None:
        """Start empty; `slots` is the number of calls that the upstream runs at once."""
        self.slots = slots
        self.running: set[CallId] = set()
        self.waiting: deque[Call] = deque()
        self.draining = False

    def arrived(self, call: Call, now: Millis) -> Iterator[AdmissionAction]:
        """Admit, queue or refuse a call."""
        if self.draining:
            yield RefuseCall(call.call_id, Reason.LEAVING)
        elif call.deadline <= now:
            yield RefuseCall(call.call_id, Reason.DEADLINE)
        elif len(self.waiting) >= self.slots * QUEUE_SLOTS_FACTOR:
            yield RefuseCall(call.call_id, Reason.QUEUE_FULL)
        else:
            self.waiting.append(call)
            yield from self._start(now)

    def finished(self, call_id: CallId, now: Millis) -> Iterator[AdmissionAction]:
        """Free the slot of a call that ended."""
        self.running.discard(call_id)
        yield from self._start(now)

    def drain(self) -> Iterator[AdmissionAction]:
        """Refuse all that waits and all that comes; running calls go on."""
        self.draining = True
        while self.waiting:
            yield RefuseCall(self.waiting.popleft().call_id, Reason.LEAVING)

    def _start(self, now: Millis) -> Iterator[AdmissionAction]:
        while self.waiting and len(self.running) < self.slots:
            call = self.waiting.popleft()
            if call.deadline <= now:
                yield RefuseCall(call.call_id, Reason.DEADLINE)
                continue
            self.running.add(call.call_id)
            yield StartCall(call)
