"""Filter that refuses calls that cannot end before their deadline."""

from collections.abc import Iterable, Iterator

from ..ids import Millis
from ..states import Reason
from .classes import CostTable
from .model import Entry, FilterItem, RefuseCall


def refuse_infeasible(
    steps: Iterable[FilterItem], costs: CostTable, now: Millis
) -> Iterator[FilterItem]:
    """Refuse the entries whose remaining time is at most the expected cost of their shape."""
    for step in steps:
        if isinstance(step, Entry) and not can_finish(step, costs, now):
            yield RefuseCall(step.call.call_id, Reason.DEADLINE)
        else:
            yield step


def can_finish(entry: Entry, costs: CostTable, now: Millis) -> bool:
    """Return whether a call that starts now is expected to end before its deadline."""
    return entry.call.deadline - now > costs.expected(entry.shape, now)
