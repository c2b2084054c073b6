"""Queue in front of the slots of one upstream: important and urgent calls first."""

import math
from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass

from ..ids import HandoverId, Millis, RouteName
from ..states import Reason
from .rate_limit import RateLimit

# Weight of one call in the mean costs.
COST_SAMPLE_WEIGHT = 0.1
# A call that would miss its latency objective is not queued, because its answer has little value.
# But every call may wait for this share of the time to its deadline.
MIN_WAIT_SHARE = 0.1
# Calls of one route differ in cost: this multiple of the mean cost must fit between the expected
# start and the objective.
COST_MARGIN_FACTOR = 1.2
# A call that may miss its deadline is started if it would meet it at this share of the mean cost.
FEASIBLE_COST_SHARE = 0.6


@dataclass(frozen=True, slots=True)
class CallAwaitingSlot:
    """A call that needs a slot of the upstream; `rank` 0 is the most important.

    After `objective_at` its answer loses value, after `deadline` it is useless; both are times on
    the monotonic clock.
    """

    handover_id: HandoverId
    route: RouteName
    rank: int
    objective_at: Millis
    deadline: Millis


@dataclass(frozen=True, slots=True)
class StartHandover:
    """Action: send the call to the upstream now."""

    handover_id: HandoverId


@dataclass(frozen=True, slots=True)
class RefuseHandover:
    """Action: refuse the call with the outcome not-run."""

    handover_id: HandoverId
    reason: Reason


class SlotQueue:
    """Runs at most `slots` calls at once, starts no more than `limit` allows, queues or refuses
    the others.
    """

    def __init__(self) -> None:
        """Start without slots."""
        self.slots = 0
        self.limit = RateLimit()
        self.running: dict[HandoverId, tuple[RouteName, Millis]] = {}
        # Sorted by start order. Within a rank, the earliest objective goes first: calls that
        # upstreams make while they run a call have early objectives, and if they fail, the work
        # done for the outer call is lost.
        self.waiting: list[CallAwaitingSlot] = []
        self.costs: dict[RouteName, float] = {}
        self.mean_cost = 0.0

    @property
    def load(self) -> int:
        """Return the number of calls that run or wait."""
        return len(self.running) + len(self.waiting)

    @property
    def capacity(self) -> int:
        """Return the number of calls that can run at once, of slots and limit the lower."""
        if math.isinf(self.limit.rate) or not self.mean_cost:
            return self.slots
        return min(self.slots, max(1, math.ceil(self.limit.concurrency(self.mean_cost))))

    def next_start(self, now: Millis) -> Millis | None:
        """Return the time until the limit lets a waiting call start, None while no slot is free."""
        if not self.waiting or len(self.running) >= self.slots:
            return None
        return self.limit.wait(1, now)

    def admit(
        self, call: CallAwaitingSlot, now: Millis
    ) -> Iterator[StartHandover | RefuseHandover]:
        """Start, queue or refuse a call."""
        has_slot = len(self.running) < self.slots
        if has_slot and not self.waiting and self.limit.take(now):
            self.running[call.handover_id] = (call.route, now)
            yield StartHandover(call.handover_id)
            return
        max_wait = self._max_wait(call, now)
        if not has_slot and self._expected_wait(call) > max_wait:
            yield RefuseHandover(call.handover_id, Reason.OVERLOADED)
            return
        if self.limit.wait(self._position(call) + 1, now) > max_wait:
            yield RefuseHandover(call.handover_id, Reason.LIMITED)
            return
        insort(self.waiting, call, key=start_order)

    def finish(self, handover_id: HandoverId, now: Millis, counts_for_mean: bool) -> None:
        """Free the slot of a call; its time updates the mean costs if `counts_for_mean`."""
        row = self.running.pop(handover_id, None)
        if row is not None and counts_for_mean:
            route, started = row
            elapsed = now - started
            mean = self.costs.get(route, elapsed)
            self.costs[route] = mean + COST_SAMPLE_WEIGHT * (elapsed - mean)
            self.mean_cost += COST_SAMPLE_WEIGHT * (elapsed - self.mean_cost)

    def cancel(self, handover_id: HandoverId) -> bool:
        """Remove a call; return whether it was waiting."""
        for position, call in enumerate(self.waiting):
            if call.handover_id == handover_id:
                del self.waiting[position]
                return True
        return False

    def start_waiting(self, now: Millis) -> Iterator[StartHandover | RefuseHandover]:
        """Start waiting calls while slots are free; refuse those that cannot end in time."""
        while self.waiting and len(self.running) < self.slots:
            call = self.waiting[0]
            if now + FEASIBLE_COST_SHARE * self.costs.get(call.route, 0.0) >= call.deadline:
                del self.waiting[0]
                yield RefuseHandover(call.handover_id, Reason.DEADLINE)
                continue
            if not self.limit.take(now):
                return
            del self.waiting[0]
            self.running[call.handover_id] = (call.route, now)
            yield StartHandover(call.handover_id)

    def refuse_beyond_limit(self, now: Millis) -> Iterator[RefuseHandover]:
        """Refuse waiting calls that a new limit lets start too late."""
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            if self.limit.wait(len(self.waiting) + 1, now) > self._max_wait(call, now):
                yield RefuseHandover(call.handover_id, Reason.LIMITED)
            else:
                self.waiting.append(call)

    def refuse_all(self, reason: Reason) -> Iterator[RefuseHandover]:
        """Refuse all waiting calls."""
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            yield RefuseHandover(call.handover_id, reason)

    def _expected_wait(self, call: CallAwaitingSlot) -> float:
        """Return the expected wait for a slot, by the work ahead of the call and a running call.

        One service runs calls of very different cost. With one mean for all of them, a short call
        behind short ones is refused, and a long one is queued behind work that ends too late.
        """
        ahead = self.waiting[: self._position(call)]
        waiting_cost = sum(self._cost_of(row.route) for row in ahead)
        running_cost = sum(self._cost_of(route) for route, _ in self.running.values())
        next_slot = running_cost / max(1, len(self.running))
        return (waiting_cost + next_slot) / max(1, self.slots)

    def _position(self, call: CallAwaitingSlot) -> int:
        return bisect_right(self.waiting, start_order(call), key=start_order)

    def _cost_of(self, route: RouteName) -> float:
        return self.costs.get(route, self.mean_cost)

    def _max_wait(self, call: CallAwaitingSlot, now: Millis) -> float:
        wait_within_objective = (
            call.objective_at - now - COST_MARGIN_FACTOR * self.costs.get(call.route, 0.0)
        )
        return max(wait_within_objective, MIN_WAIT_SHARE * (call.deadline - now))


def start_order(call: CallAwaitingSlot) -> tuple[int, Millis]:
    """Return the sort key of waiting calls."""
    return (call.rank, call.objective_at)
