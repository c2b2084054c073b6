"""The queue in front of one upstream's slots: important calls first, hopeless ones refused."""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import HandoverId, Millis, RouteName
from ..states import Reason

COST_WEIGHT = 0.1
# A call that waits longer than its latency objective allows is worth little, but every call may
# wait this share of the time it has left.
MIN_WAIT_SHARE = 0.1
# Runs of one route differ; this many mean costs must fit between the start and the objective.
COST_MARGIN = 1.2
# While it is cold, an upstream works at about half of its speed.
COLD_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class Waiting:
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
class Start:
    """Action: send the call to the upstream now."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class Refuse:
    """Action: answer the call as not run."""

    handover_id: HandoverId
    reason: Reason


class SlotQueue:
    """Starts at most `slots` calls at once."""

    def __init__(self) -> None:
        """Start without slots."""
        self.slots = 0
        self.cold_until = Millis(0)
        self.running: dict[HandoverId, tuple[RouteName, Millis]] = {}
        self.lanes: dict[int, deque[Waiting]] = {}
        self.costs: dict[RouteName, float] = {}
        self.mean_cost = 0.0
        self.waiting = 0

    @property
    def load(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self.running) + self.waiting

    def limit(self, now: Millis) -> int:
        """Return how many calls may run now."""
        return max(1, int(self.slots * COLD_SHARE)) if now < self.cold_until else self.slots

    def arrived(self, call: Waiting, now: Millis) -> Iterator[Start | Refuse]:
        """Start, queue or refuse a call."""
        if len(self.running) < self.limit(now) and not self.waiting:
            self.running[call.handover_id] = (call.route, now)
            yield Start(call.handover_id)
            return
        if self._wait_of(call, now) > self._longest_wait(call, now):
            yield Refuse(call.handover_id, Reason.OVERLOADED)
            return
        self.lanes.setdefault(call.rank, deque()).append(call)
        self.waiting += 1

    def finished(self, handover_id: HandoverId, now: Millis, learn: bool) -> None:
        """Free the slot of a call; `learn` tells whether its time is typical of its route."""
        row = self.running.pop(handover_id, None)
        if row is not None and learn:
            route, started = row
            took = now - started
            held = self.costs.get(route, took)
            self.costs[route] = held + COST_WEIGHT * (took - held)
            self.mean_cost += COST_WEIGHT * (took - self.mean_cost)

    def cancel(self, handover_id: HandoverId) -> bool:
        """Remove a waiting call; return whether it waited."""
        for lane in self.lanes.values():
            for call in lane:
                if call.handover_id == handover_id:
                    lane.remove(call)
                    self.waiting -= 1
                    return True
        return False

    def next(self, now: Millis) -> Iterator[Start | Refuse]:
        """Start waiting calls while there are free slots; refuse those that cannot end in time."""
        limit = self.limit(now)
        for rank in sorted(self.lanes):
            lane = self.lanes[rank]
            while lane and len(self.running) < limit:
                call = lane.popleft()
                self.waiting -= 1
                if now + 0.6 * self.costs.get(call.route, 0.0) >= call.deadline:
                    yield Refuse(call.handover_id, Reason.DEADLINE)
                    continue
                self.running[call.handover_id] = (call.route, now)
                yield Start(call.handover_id)

    def clear(self, reason: Reason) -> Iterator[Refuse]:
        """Refuse everything that waits."""
        for lane in self.lanes.values():
            while lane:
                yield Refuse(lane.popleft().handover_id, reason)
        self.waiting = 0

    def _wait_of(self, call: Waiting, now: Millis) -> float:
        ahead = sum(len(lane) for rank, lane in self.lanes.items() if rank <= call.rank)
        return (ahead + 1) * self.mean_cost / max(1, self.limit(now))

    def _longest_wait(self, call: Waiting, now: Millis) -> float:
        in_time = call.objective - now - COST_MARGIN * self.costs.get(call.route, 0.0)
        return max(in_time, MIN_WAIT_SHARE * (call.deadline - now))
