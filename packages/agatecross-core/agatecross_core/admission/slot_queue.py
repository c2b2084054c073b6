"""Queue in front of the slots of one upstream: important and urgent calls first."""

import math
from bisect import bisect_right, insort
from collections.abc import Iterator
from dataclasses import dataclass, replace

from ..ids import NO_CUSTOMER, CustomerName, HandoverId, Millis, RouteName
from ..states import Reason
from .rate_limit import RateLimit
from .slot_use import CustomerDemand, SlotUse

# Weight of one call in the mean costs.
COST_SAMPLE_WEIGHT = 0.1
# A call that would miss its latency objective is not queued, because its answer has little value.
# But every call may wait for this share of the time to its deadline.
MIN_WAIT_SHARE = 0.03
# A started call is expected to end within this multiple of the mean cost: before its objective, or
# it gives way to one that is; before its deadline, or it is refused.
EXPECTED_COST_FACTOR = 1.2
# The expected wait is a mean, and other upstreams may have room: a call is queued only if it could
# also wait this many times as long.
WAIT_MARGIN_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class CallAwaitingSlot:
    """A call that needs a slot of the upstream; `rank` 0 is the most important.

    After `objective_at` its answer loses value, after `deadline` it is useless; both are times on
    the monotonic clock. `over_share` calls, those of customers that ask for more than their fair
    share, go after the others of their rank.
    """

    handover_id: HandoverId
    route: RouteName
    rank: int
    objective_at: Millis
    deadline: Millis
    customer: CustomerName = NO_CUSTOMER
    over_share: bool = False

    @property
    def precedence(self) -> tuple[int, bool]:
        """Return the sort key that does not depend on time."""
        return (self.rank, self.over_share)


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

    Load patterns: demand above what the slots can do, in which waiting calls in the order of their
    objectives would all start just too late; and calls that end after their deadline, which use a
    slot in vain.
    """

    def __init__(self) -> None:
        """Start without slots."""
        self.slots = 0
        self.limit = RateLimit()
        self.running: dict[HandoverId, tuple[CallAwaitingSlot, Millis]] = {}
        # Sorted by start order. Within a precedence, the earliest objective goes first: calls that
        # upstreams make while they run a call have early objectives, and if they fail, the work
        # done for the outer call is lost.
        self.waiting: list[CallAwaitingSlot] = []
        self.costs: dict[RouteName, float] = {}
        self.mean_cost = 0.0
        self.use = SlotUse()
        self.demand = CustomerDemand()

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
        cost = self._cost_of(call.route)
        over_share = self.demand.record(call.customer, cost, now, self.slots)
        # An idle upstream gets a call in any case, since only calls show that it is faster now.
        if self.running and not self._can_end(call, now, call.deadline):
            yield RefuseHandover(call.handover_id, Reason.DEADLINE)
            return
        has_slot = len(self.running) < self.slots
        if has_slot and not self.waiting and self.limit.take(now):
            yield self._start(call, now)
            return
        if over_share:
            call = replace(call, over_share=True)
        max_wait = self._max_wait(call, now)
        if not has_slot and self._expected_wait(call, now) > max_wait:
            reason = Reason.OVER_SHARE if over_share else Reason.OVERLOADED
            yield RefuseHandover(call.handover_id, reason)
            return
        if self.limit.wait(self._position(call) + 1, now) > max_wait:
            yield RefuseHandover(call.handover_id, Reason.LIMITED)
            return
        insort(self.waiting, call, key=start_order)

    def finish(self, handover_id: HandoverId, now: Millis, counts_for_mean: bool) -> None:
        """Free the slot of a call; its time updates the mean costs if `counts_for_mean`."""
        row = self.running.pop(handover_id, None)
        if row is None:
            return
        call, started = row
        elapsed = Millis(now - started)
        self.use.record(call.precedence, elapsed, now)
        if counts_for_mean:
            mean = self.costs.get(call.route, elapsed)
            self.costs[call.route] = mean + COST_SAMPLE_WEIGHT * (elapsed - mean)
            self.mean_cost += COST_SAMPLE_WEIGHT * (elapsed - self.mean_cost)

    def cancel(self, handover_id: HandoverId) -> bool:
        """Remove a call; return whether it was waiting."""
        for position, call in enumerate(self.waiting):
            if call.handover_id == handover_id:
                del self.waiting[position]
                return True
        return False

    def start_waiting(self, now: Millis) -> Iterator[StartHandover | RefuseHandover]:
        """Refuse waiting calls that cannot end in time; start others while slots are free.

        A call is refused as soon as it cannot end, also while no slot is free: at its deadline, the
        answer "not run" would reach the entry daemon after it has given up on the call.

        Of the calls of one precedence, the first one goes that can still meet its objective. Those
        that it overtakes are refused, because others would overtake them until their deadline.
        """
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            if self._can_end(call, now, call.deadline):
                self.waiting.append(call)
            else:
                yield RefuseHandover(call.handover_id, Reason.DEADLINE)
        while self.waiting and len(self.running) < self.slots and self.limit.take(now):
            overtaken = self._count_overtaken(now)
            for call in self.waiting[:overtaken]:
                yield RefuseHandover(call.handover_id, Reason.OVERLOADED)
            first = self.waiting[overtaken]
            del self.waiting[: overtaken + 1]
            yield self._start(first, now)

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

    def _start(self, call: CallAwaitingSlot, now: Millis) -> StartHandover:
        self.running[call.handover_id] = (call, now)
        return StartHandover(call.handover_id)

    def _can_end(self, call: CallAwaitingSlot, now: Millis, by: Millis) -> bool:
        """Return whether a call that starts now is expected to end before a time."""
        return now + EXPECTED_COST_FACTOR * self.costs.get(call.route, 0.0) < by

    def _count_overtaken(self, now: Millis) -> int:
        """Return how many calls the first one that can meet its objective overtakes."""
        precedence = self.waiting[0].precedence
        for position, call in enumerate(self.waiting):
            if call.precedence != precedence:
                break
            if self._can_end(call, now, call.objective_at):
                return position
        return 0

    def _expected_wait(self, call: CallAwaitingSlot, now: Millis) -> float:
        """Return the expected wait for a slot, by the work ahead of the call and a running call.

        One service runs calls of very different cost. With one mean for all of them, a short call
        behind short ones is refused, and a long one is queued behind work that ends too late.
        """
        ahead = self.waiting[: self._position(call)]
        # After a start no cost is known, and an estimate of nothing would let all calls of the
        # first second queue up: a running call then counts with the time it has taken so far.
        running_costs = [
            self._cost_of(row.route) or now - started for row, started in self.running.values()
        ]
        next_slot = sum(running_costs) / max(1, len(running_costs))
        waiting_cost = sum(self._cost_of(row.route) or next_slot for row in ahead)
        share_left = self.use.share_left(call.precedence, self.slots, now)
        return (waiting_cost + next_slot) / (max(1, self.slots) * share_left)

    def _position(self, call: CallAwaitingSlot) -> int:
        return bisect_right(self.waiting, start_order(call), key=start_order)

    def _cost_of(self, route: RouteName) -> float:
        return self.costs.get(route, self.mean_cost)

    def _max_wait(self, call: CallAwaitingSlot, now: Millis) -> float:
        cost = EXPECTED_COST_FACTOR * self.costs.get(call.route, 0.0)
        wait_within_objective = (call.objective_at - now - cost) / WAIT_MARGIN_FACTOR
        return max(wait_within_objective, MIN_WAIT_SHARE * (call.deadline - now))


def start_order(call: CallAwaitingSlot) -> tuple[int, bool, Millis]:
    """Return the sort key of waiting calls."""
    return (call.rank, call.over_share, call.objective_at)
