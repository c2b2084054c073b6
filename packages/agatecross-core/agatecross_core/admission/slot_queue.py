"""The queue in front of one upstream's slots: important and urgent calls first."""

from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import HandoverId, Millis, RouteName
from ..states import Reason

COST_SAMPLE_WEIGHT = 0.1
# A call that waits longer than its latency objective allows is worth little, but every call may
# wait this share of the time it has left.
MIN_WAIT_SHARE = 0.1
# Runs of one route differ; this many mean costs must fit between the start and the objective.
COST_MARGIN_FACTOR = 1.2
# A call that may be late is started if a run of this share of the usual cost would be in time.
FEASIBLE_COST_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class WaitingCall:
    """A call that waits; `rank` 0 is the most important.

    `objective` is when its answer loses value, `deadline` when it is useless, both on the monotonic
    clock.
    """

    handover_id: HandoverId
    route: RouteName
    rank: int
    objective: Millis
    deadline: Millis


@dataclass(frozen=True, slots=True)
class StartHandover:
    """Action: send the call to the upstream now."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class RefuseHandover:
    """Action: answer the call as not run."""

    handover_id: HandoverId
    reason: Reason


class SlotQueue:
    """Starts at most `slots` calls at once."""

    def __init__(self) -> None:
        """Start without slots."""
        self.slots = 0
        self.running: dict[HandoverId, tuple[RouteName, Millis]] = {}
        # In the order of starts. Within a rank the earliest objective goes first: calls that
        # running upstreams make have short ones, and without them their callers' work is lost.
        self.waiting: list[WaitingCall] = []
        self.costs: dict[RouteName, float] = {}
        self.mean_cost = 0.0

    @property
    def load(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self.running) + len(self.waiting)

    def admit(self, call: WaitingCall, now: Millis) -> Iterator[StartHandover | RefuseHandover]:
        """Start, queue or refuse a call."""
        if len(self.running) < self.slots and not self.waiting:
            self.running[call.handover_id] = (call.route, now)
            yield StartHandover(call.handover_id)
            return
        if self._expected_wait(call, now) > self._max_wait(call, now):
            yield RefuseHandover(call.handover_id, Reason.OVERLOADED)
            return
        insort(self.waiting, call, key=start_order)

    def finish(self, handover_id: HandoverId, now: Millis, typical: bool) -> None:
        """Free the slot of a call; `learn` tells whether its time is typical of its route."""
        row = self.running.pop(handover_id, None)
        if row is not None and typical:
            route, started = row
            elapsed = now - started
            mean = self.costs.get(route, elapsed)
            self.costs[route] = mean + COST_SAMPLE_WEIGHT * (elapsed - mean)
            self.mean_cost += COST_SAMPLE_WEIGHT * (elapsed - self.mean_cost)

    def cancel(self, handover_id: HandoverId) -> bool:
        """Remove a waiting call; return whether it waited."""
        for position, call in enumerate(self.waiting):
            if call.handover_id == handover_id:
                del self.waiting[position]
                return True
        return False

    def start_waiting(self, now: Millis) -> Iterator[StartHandover | RefuseHandover]:
        """Start waiting calls while there are free slots; refuse those that cannot end in time."""
        while self.waiting and len(self.running) < self.slots:
            call = self.waiting.pop(0)
            if now + FEASIBLE_COST_SHARE * self.costs.get(call.route, 0.0) >= call.deadline:
                yield RefuseHandover(call.handover_id, Reason.DEADLINE)
                continue
            self.running[call.handover_id] = (call.route, now)
            yield StartHandover(call.handover_id)

    def refuse_all(self, reason: Reason) -> Iterator[RefuseHandover]:
        """Refuse everything that waits."""
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            yield RefuseHandover(call.handover_id, reason)

    def _expected_wait(self, call: WaitingCall, now: Millis) -> float:
        ahead = bisect_right(self.waiting, start_order(call), key=start_order)
        return (ahead + 1) * self.mean_cost / max(1, self.slots)

    def _max_wait(self, call: WaitingCall, now: Millis) -> float:
        in_time = call.objective - now - COST_MARGIN_FACTOR * self.costs.get(call.route, 0.0)
        return max(in_time, MIN_WAIT_SHARE * (call.deadline - now))


def start_order(call: WaitingCall) -> tuple[int, Millis]:
    """Return the key by which waiting calls are started."""
    return (call.rank, call.objective)
