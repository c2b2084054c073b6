"""Filter that refuses calls that cannot end before their deadline."""

from collections.abc import Iterable, Iterator

from ..ids import Millis
from ..states import Reason
from .classes import CostTable
from .model import Entry, FilterItem, RefuseCall


def refuse_infeasible(
    items: Iterable[FilterItem], costs: CostTable, now: Millis
) -> Iterator[FilterItem]:
    """Refuse the entries whose remaining time is at most the expected cost of their shape."""
    for item in items:
        if isinstance(item, Entry) and not can_finish(item, costs, now):
            yield RefuseCall(item.call.call_id, Reason.DEADLINE)
        else:
            yield item


def can_finish(entry: Entry, costs: CostTable, now: Millis) -> bool:
    """Return whether a call that starts now is expected to end before its deadline."""
    return entry.call.deadline - now > costs.expected_cost(entry.shape, now)
