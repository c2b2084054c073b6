"""Checks of a soak history; each yields the violations of one promise."""

from bisect import bisect_left
from collections.abc import Callable, Iterator

from agatecross_core.ids import CallId

from .customer_checks import customer_limit_holds, keys_are_accepted, keys_bind
from .disturbances import MAX_CONFIG_APPLY_SECONDS, is_disturbed
from .events import History, RequestOutcome

Check = Callable[[History], Iterator[str]]
# Limit of the platform on how long an upstream may be given new work after its confirmed leave.
MAX_START_AFTER_CONFIRMED_LEAVE_SECONDS = 2.0
# What the platform allows an upstream with a limit, in each window from a time after it was named.
LIMIT_SETTLED_SECONDS = 3.0
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
# Graceful stop (0) and SIGKILL (-9); any other code means that the daemon itself crashed.
EXPECTED_EXIT_CODES = frozenset((0, -9))
# Share of the final requests that must be served. One of the six daemons may still be waiting.
MIN_SERVED_SHARE = 0.95


def runs_once(history: History) -> Iterator[str]:
    """A request that must run at most once does not run twice."""
    for row in history.requests:
        if row.at_most_once and history.runs.get(row.call_id, 0) > 1:
            yield f"{row.call_id} ran {history.runs[row.call_id]} times"


def refusals_are_true(history: History) -> Iterator[str]:
    """A request that must run at most once and was refused as not run has not run."""
    for row in history.requests:
        if (
            row.outcome is RequestOutcome.REFUSED
            and row.at_most_once
            and history.runs.get(row.call_id, 0)
        ):
            yield f"{row.call_id} was answered {row.status} and ran"


def answers_are_own(history: History) -> Iterator[str]:
    """Each successful response belongs to its request, is complete and comes from an upstream."""
    for row in history.requests:
        if row.outcome is RequestOutcome.FOREIGN:
            yield f"{row.call_id} got a foreign or truncated response, status {row.status}"
        if row.outcome is RequestOutcome.ANSWERED and not history.runs.get(row.call_id, 0):
            yield f"{row.call_id} was answered {row.status} and no upstream ran it"


def leaves_bind(history: History) -> Iterator[str]:
    """An upstream gets no new work once the limit after its confirmed leave has passed."""
    for row in history.leaves:
        delays = [(at - row.confirmed_at, call_id) for at, call_id in row.run_starts]
        late = [entry for entry in delays if entry[0] > MAX_START_AFTER_CONFIRMED_LEAVE_SECONDS]
        if late:
            # The ids show whether the requests came from callers of the soak or from elsewhere.
            ids = " ".join(call_id or "-" for _, call_id in late[:4])
            latest = max(late)[0]
            yield f"{row.name} started {len(late)} runs up to {latest:.2f} s after its leave: {ids}"


def announced_leaves_bind(history: History) -> Iterator[str]:
    """An upstream whose answers say that it leaves gets no new work after the limit.

    The platform excuses a daemon that was restarted or paused since then.
    """
    nodes = {row.call_id: row.node for row in history.requests}
    for row in history.announced_leaves:
        late = [
            call_id
            for at, call_id in row.run_starts
            if at - row.said_at > MAX_START_AFTER_CONFIRMED_LEAVE_SECONDS
            and not any(
                node == nodes.get(CallId(call_id)) and row.said_at < restarted_at <= at
                for node, restarted_at in history.restarts
            )
        ]
        if late:
            yield f"{row.name} started {len(late)} runs after it said that it leaves: {late[:4]}"


def limits_hold(history: History) -> Iterator[str]:
    """An upstream that names a limit gets no more than the platform allows beyond it."""
    for row in history.limited_times:
        settled = row.named_at + LIMIT_SETTLED_SECONDS
        starts = [at for at, _ in row.run_starts if settled <= at < row.ended_at]
        ends = (bisect_left(starts, at + LIMIT_WINDOW_SECONDS) for at in starts)
        most = max((end - begin for begin, end in enumerate(ends)), default=0)
        allowed = LIMIT_FACTOR * row.limit * LIMIT_WINDOW_SECONDS + LIMIT_EXTRA_REQUESTS
        if most > allowed:
            yield f"{row.name} named {row.limit} a second and started {most} runs in 4 s"


def versions_rise(history: History) -> Iterator[str]:
    """The version in force at a daemon never decreases between two of its restarts."""
    newest: dict[tuple[int, int], int] = {}
    for row in history.versions:
        key = (row.node, row.restarts)
        if row.version < newest.get(key, 0):
            yield (
                f"d{row.node} restart {row.restarts}: version in force fell "
                f"from {newest[key]} to {row.version}"
            )
        newest[key] = max(newest.get(key, 0), row.version)


def changes_arrive(history: History) -> Iterator[str]:
    """A version is in force in time at each daemon that no fault has hit lately.

    A daemon without any version is starting and refuses requests.
    """
    for row in history.versions:
        due = [v for v, at in history.published if row.at > at + MAX_CONFIG_APPLY_SECONDS]
        if due and 0 < row.version < max(due) and not is_disturbed(history, row.node, row.at):
            yield f"d{row.node} restart {row.restarts}: {row.version} in force, {max(due)} is due"


def daemons_live(history: History) -> Iterator[str]:
    """No daemon exits on its own or logs a traceback."""
    for node, code in history.exits:
        if code not in EXPECTED_EXIT_CODES:
            yield f"d{node} exited with code {code}"
    yield from history.tracebacks


def stops_are_graceful(history: History) -> Iterator[str]:
    """A graceful stop breaks no request that is in progress, unless a fault hit the daemon then."""
    for node, started_at, ended_at in history.graceful_stops:
        hit = any(
            affected in (node, -1) and begin < ended_at and started_at < end
            for affected, begin, end in history.disturbances
        )
        for row in history.requests if not hit else ():
            if (
                row.node == node
                and row.outcome is RequestOutcome.BROKEN
                and started_at < row.ended_at <= ended_at
            ):
                yield (
                    f"{row.call_id} lost its connection {row.ended_at - started_at:.2f} s "
                    f"after SIGTERM to d{node}"
                )


def recovers(history: History) -> Iterator[str]:
    """After the last fault nearly every request is served, including on the newest route."""
    served = sum(row.outcome is RequestOutcome.ANSWERED for row in history.final_requests)
    if served < MIN_SERVED_SHARE * len(history.final_requests):
        lost = [
            f"d{row.node}:{row.status}"
            for row in history.final_requests
            if row.outcome != RequestOutcome.ANSWERED
        ]
        yield (
            f"{served} of {len(history.final_requests)} final requests served; "
            f"others as daemon:status: {' '.join(lost[:8])}"
        )


CHECKS: tuple[Check, ...] = (
    runs_once,
    refusals_are_true,
    answers_are_own,
    leaves_bind,
    announced_leaves_bind,
    limits_hold,
    keys_bind,
    keys_are_accepted,
    customer_limit_holds,
    versions_rise,
    changes_arrive,
    daemons_live,
    stops_are_graceful,
    recovers,
)


def violations(history: History) -> Iterator[str]:
    """Yield every violation, prefixed with the name of its check."""
    for check in CHECKS:
        for text in check(history):
            yield f"{check.__name__}: {text}"
