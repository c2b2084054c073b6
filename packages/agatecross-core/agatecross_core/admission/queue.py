"""Bounded queue in front of the slots of an upstream.

Short calls go before long ones; an overloaded lane serves its newest entry first.
"""

from collections import deque
from collections.abc import Iterable, Iterator

from ..constants import QUEUE_DELAY_TARGET
from ..ids import CallId, Millis
from ..states import Reason, WorkClass
from .classes import CostTable
from .deadline import can_finish
from .model import Entry, FilterItem, RefuseCall

Lane = deque[Entry]


class WaitingQueue:
    """Holds the entries of each class in order of arrival."""

    def __init__(self) -> None:
        self.lanes: dict[WorkClass, Lane] = {WorkClass.SHORT: deque(), WorkClass.LONG: deque()}

    def __len__(self) -> int:
        return sum(map(len, self.lanes.values()))

    def offer(
        self, items: Iterable[FilterItem], capacity: int, now: Millis
    ) -> Iterator[RefuseCall]:
        """Queue the entries and yield refusals; above `capacity`, refuse the least useful entry."""
        for item in items:
            if isinstance(item, RefuseCall):
                yield item
                continue
            self.lanes[item.work_class].append(item)
            if len(self) > capacity:
                yield RefuseCall(self._evict(now).call.call_id, Reason.QUEUE_FULL)

    def take(self, long_running: int, long_limit: int, now: Millis) -> Entry | None:
        """Remove and return the entry to start next.

        Short calls go first, but one long call may run at any load: otherwise a steady flow of
        short calls would starve the long ones.
        """
        short, long = self.lanes[WorkClass.SHORT], self.lanes[WorkClass.LONG]
        long_allowed = bool(long) and long_running < long_limit
        if long_allowed and (not short or (not long_running and exceeds_delay_target(long, now))):
            return pop_next(long, now)
        return pop_next(short, now) if short else None

    def drop_infeasible(self, costs: CostTable, now: Millis) -> Iterator[RefuseCall]:
        """Refuse the entries that could not end in time if they started now."""
        for lane in self.lanes.values():
            infeasible = [entry for entry in lane if not can_finish(entry, costs, now)]
            for entry in infeasible:
                lane.remove(entry)
                yield RefuseCall(entry.call.call_id, Reason.DEADLINE)

    def remove(self, call_id: CallId) -> bool:
        """Remove a call; return whether it was waiting."""
        for lane in self.lanes.values():
            for entry in lane:
                if entry.call.call_id == call_id:
                    lane.remove(entry)
                    return True
        return False

    def refuse_all(self, reason: Reason) -> Iterator[RefuseCall]:
        """Remove and refuse all entries."""
        for lane in self.lanes.values():
            while lane:
                yield RefuseCall(lane.popleft().call.call_id, reason)

    def _evict(self, now: Millis) -> Entry:
        lane = self.lanes[WorkClass.LONG] or self.lanes[WorkClass.SHORT]
        return lane.popleft() if exceeds_delay_target(lane, now) else lane.pop()


def exceeds_delay_target(lane: Lane, now: Millis) -> bool:
    """Return whether the oldest entry has waited longer than the delay target."""
    return now - lane[0].arrived > QUEUE_DELAY_TARGET


def pop_next(lane: Lane, now: Millis) -> Entry:
    """Remove the oldest entry, or of an overloaded lane the newest, which has most time left."""
    return lane.pop() if exceeds_delay_target(lane, now) else lane.popleft()
