"""Checks of what the callers with keys saw and what of it ran."""

from bisect import bisect_right
from collections.abc import Iterator

from agatecross_core.ids import CallId

from .customers import HOT_BURST, HOT_KEY, HOT_RATE, MAIN_KEY, UNKNOWN_KEY, version_of
from .disturbances import MAX_CONFIG_APPLY_SECONDS, is_disturbed
from .events import History

# What the platform allows a customer in each window.
WINDOW_SECONDS = 5.0
MAX_OVERAGE = 0.1
EXTRA_REQUESTS = 20


def keys_bind(history: History) -> Iterator[str]:
    """No request runs with an unknown key, or in time with one that a version has withdrawn."""
    for row in history.requests:
        version = version_of(row.key)
        if not history.runs.get(row.call_id, 0):
            continue
        if row.key == UNKNOWN_KEY:
            yield f"{row.call_id} ran with a key that no version has"
        later = [at for number, at in history.published if version is not None and number > version]
        if (
            later
            and row.started_at > min(later) + MAX_CONFIG_APPLY_SECONDS
            and not is_disturbed(history, row.node, row.started_at)
        ):
            late = row.started_at - min(later)
            yield f"{row.call_id} ran at d{row.node} {late:.2f} s after {row.key} was withdrawn"


def keys_are_accepted(history: History) -> Iterator[str]:
    """A key that each version has is never refused."""
    for row in [*history.requests, *history.final_requests]:
        if row.status == 401 and row.key in (MAIN_KEY, HOT_KEY):
            yield f"{row.call_id} got 401 from d{row.node} with {row.key}"


def customer_limit_holds(history: History) -> Iterator[str]:
    """In no window, more requests of a customer are sent and run than the platform allows."""
    sent = {row.call_id: row.started_at for row in history.requests if row.key == HOT_KEY}
    runs = sorted((at, sent[CallId(i)]) for i, at in history.first_runs.items() if i in sent)
    allowed = (HOT_RATE * WINDOW_SECONDS + HOT_BURST) * (1 + MAX_OVERAGE) + EXTRA_REQUESTS
    ends = [at for at, _ in runs]
    for begin in sorted(sent_at for _, sent_at in runs):
        last = bisect_right(ends, begin + WINDOW_SECONDS)
        count = sum(sent_at >= begin for _, sent_at in runs[:last])
        if count > allowed:
            yield f"{count} requests of the limited customer ran in 5 s, {allowed:.0f} are allowed"
            return
