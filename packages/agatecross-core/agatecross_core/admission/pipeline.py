"""The adaptive admission pipeline: gate, deadline, class, queue, limit, start."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ..calls.model import Call
from ..constants import QUEUE_SWEEP_PERIOD, QUEUED_CALLS_PER_SLOT
from ..ids import CallId, Millis
from ..states import Reason, UpstreamState, WorkClass
from .classes import CostTable, classify, shape_of
from .deadline import can_finish, refuse_infeasible
from .limit import ConcurrencyLimit
from .model import (
    DEFAULT_CLASS_POLICY,
    AdmissionAction,
    AdmissionMessage,
    CallArrived,
    CallCancelled,
    CallEnding,
    CallFinished,
    CapacityAnnounced,
    ClassPolicy,
    DaemonLeaving,
    Entry,
    FilterItem,
    LeaseExpired,
    RefuseCall,
    StartCall,
    StopCall,
    TimePassed,
)
from .queue import WaitingQueue


class Gate:
    """First filter: refuses every call while the upstream accepts none."""

    def __init__(self) -> None:
        self.state: UpstreamState | None = None
        self.leaving = False

    def reason(self) -> Reason | None:
        """Return the reason to refuse every call, or None while calls are accepted."""
        if self.leaving or self.state is UpstreamState.DRAINING:
            return Reason.LEAVING
        return None if self.state is UpstreamState.READY else Reason.NO_UPSTREAM

    def refuse_while_closed(self, items: Iterable[FilterItem]) -> Iterator[FilterItem]:
        """Refuse the entries while the upstream accepts no calls."""
        for item in items:
            reason = self.reason()
            if isinstance(item, Entry) and reason is not None:
                yield RefuseCall(item.call.call_id, reason)
            else:
                yield item


@dataclass(frozen=True, slots=True)
class StartedCall:
    """A started call."""

    entry: Entry
    started_at: Millis


class AdaptiveAdmission:
    """Decides which calls start, wait or are refused; never runs more calls than the limit."""

    def __init__(self) -> None:
        self.gate = Gate()
        self.policy = DEFAULT_CLASS_POLICY
        self.next_sweep = Millis(0)
        self.costs = CostTable()
        self.limit = ConcurrencyLimit()
        self.queue = WaitingQueue()
        self.started: dict[CallId, StartedCall] = {}

    @property
    def running(self) -> int:
        """Return the number of started calls that have not ended."""
        return len(self.started)

    @property
    def waiting(self) -> int:
        """Return the number of calls in the queue."""
        return len(self.queue)

    @property
    def slots(self) -> int:
        """Return the number of calls that may run at once."""
        return self.limit.value

    def handle(self, message: AdmissionMessage, now: Millis) -> Iterator[AdmissionAction]:
        """Handle one message and yield the resulting actions."""
        match message:
            case CallArrived(call):
                yield from self._admit(call, now)
            case CallFinished(call_id, ending):
                self._record_finish(call_id, ending, now)
            case CallCancelled(call_id):
                yield from self._cancel(call_id)
            case CapacityAnnounced(slots, connections, state):
                self.gate.state = state
                self.limit.set_capacity(min(slots, connections))
            case LeaseExpired():
                self.gate.state = None
            case ClassPolicy():
                self.policy = message
            case DaemonLeaving():
                self.gate.leaving = True
            case TimePassed():
                self._tick(now)
        yield from self._start_waiting(now)

    def _admit(self, call: Call, now: Millis) -> Iterator[AdmissionAction]:
        items: Iterable[FilterItem] = (Entry(call, shape_of(call), now),)
        items = self.gate.refuse_while_closed(items)
        items = refuse_infeasible(items, self.costs, now)
        items = classify(items, self.costs, self.policy)
        free = max(0, self.limit.value - self.running)
        yield from self.queue.offer(items, self.limit.value * QUEUED_CALLS_PER_SLOT + free, now)

    def _record_finish(self, call_id: CallId, ending: CallEnding, now: Millis) -> None:
        ended = self.started.pop(call_id, None)
        if ended is None:
            return
        if ending is CallEnding.SHED:
            self.limit.record_shed(self.running + 1, now)
        elif ending is CallEnding.COMPLETED:
            elapsed = Millis(now - ended.started_at)
            self.limit.record_completion(self.costs.observe(ended.entry.shape, elapsed, now), now)

    def _cancel(self, call_id: CallId) -> Iterator[AdmissionAction]:
        running = self.started.get(call_id)
        if running is None:
            self.queue.remove(call_id)
        elif running.entry.call.idempotent:
            # The slot is freed when the close of the connection is reported.
            yield StopCall(call_id)

    def _tick(self, now: Millis) -> None:
        for row in self.started.values():
            if self._is_long(row, now):
                self.costs.observe_running(row.entry.shape, Millis(now - row.started_at), now)
        if not self.started:
            self.limit.record_idle(now)

    def _start_waiting(self, now: Millis) -> Iterator[AdmissionAction]:
        reason = self.gate.reason()
        if reason is not None:
            yield from self.queue.refuse_all(reason)
            return
        if now >= self.next_sweep:
            self.next_sweep = Millis(now + QUEUE_SWEEP_PERIOD)
            yield from self.queue.drop_infeasible(self.costs, now)
        while self.waiting and self.running < self.limit.value:
            long_running = sum(1 for row in self.started.values() if self._is_long(row, now))
            entry = self.queue.take(long_running, self._long_limit(), now)
            if entry is None:
                return
            if not can_finish(entry, self.costs, now):
                yield RefuseCall(entry.call.call_id, Reason.DEADLINE)
                continue
            self.started[entry.call.call_id] = StartedCall(entry, now)
            yield StartCall(entry.call)

    def _long_limit(self) -> int:
        return max(1, int(self.limit.value * self.policy.long_share))

    def _is_long(self, row: StartedCall, now: Millis) -> bool:
        late = now - row.started_at >= self.policy.long_ms
        return late or row.entry.work_class is WorkClass.LONG
