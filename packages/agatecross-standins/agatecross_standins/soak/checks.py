"""Filters over the history of a soak; each yields the violations of one promise."""

from collections.abc import Callable, Iterator

from .events import History, RequestOutcome

Check = Callable[[History], Iterator[str]]
# The platform's bound on new work after a leave was confirmed.
MAX_START_AFTER_LEAVE_SECONDS = 2.0
# SIGKILL and the exit codes of a graceful stop; any other code is a crash of the daemon itself.
EXPECTED_EXIT_CODES = frozenset((0, -9))
# Of the requests after the last fault, this share must be served; one daemon of six may still wait.
MIN_SERVED_SHARE = 0.95


def runs_once(history: History) -> Iterator[str]:
    """No request that may not be repeated runs twice."""
    for row in history.requests:
        if row.at_most_once and history.runs.get(row.call_id, 0) > 1:
            yield f"{row.call_id} ran {history.runs[row.call_id]} times"


def refusals_are_true(history: History) -> Iterator[str]:
    """No request that was refused as not run has run."""
    for row in history.requests:
        if (
            row.outcome is RequestOutcome.REFUSED
            and row.at_most_once
            and history.runs.get(row.call_id, 0)
        ):
            yield f"{row.call_id} was answered {row.status} and ran"


def answers_are_own(history: History) -> Iterator[str]:
    """Each answer with success belongs to the request and is whole."""
    for row in history.requests:
        if row.outcome is RequestOutcome.FOREIGN:
            yield f"{row.call_id} got a foreign or cut answer, status {row.status}"
        if row.outcome is RequestOutcome.ANSWERED and not history.runs.get(row.call_id, 0):
            yield f"{row.call_id} was answered {row.status} and no upstream ran it"


def leaves_bind(history: History) -> Iterator[str]:
    """No new work reaches an upstream after its leaving was confirmed."""
    for row in history.leaves:
        rows = [(at - row.at, call_id) for at, call_id in row.run_times]
        late = [found for found in rows if found[0] > MAX_START_AFTER_LEAVE_SECONDS]
        if late:
            # An id that no caller of this soak used is a request from outside it.
            ids = " ".join(call_id or "-" for _, call_id in late[:4])
            last = max(late)[0]
            yield f"{row.name} began {len(late)} runs up to {last:.2f} s after its leave: {ids}"


def versions_rise(history: History) -> Iterator[str]:
    """The version in force never goes down within a process."""
    newest: dict[tuple[int, int], int] = {}
    for row in history.versions:
        key = (row.node, row.restarts)
        if row.version < newest.get(key, 0):
            yield f"d{row.node} start {row.restarts} went from {newest[key]} to {row.version}"
        newest[key] = max(newest.get(key, 0), row.version)


def daemons_live(history: History) -> Iterator[str]:
    """No daemon ends by itself or logs a traceback."""
    for node, code in history.exits:
        if code not in EXPECTED_EXIT_CODES:
            yield f"d{node} ended with code {code}"
    yield from history.tracebacks


def stops_are_graceful(history: History) -> Iterator[str]:
    """A stopping daemon cuts no request that it read, unless a fault hit it meanwhile."""
    for node, started_at, ended_at in history.graceful_stops:
        hit = any(
            n in (node, -1) and a < ended_at and started_at < b for n, a, b in history.disturbances
        )
        for row in history.requests if not hit else ():
            if (
                row.node == node
                and row.outcome is RequestOutcome.BROKEN
                and started_at < row.ended_at <= ended_at
            ):
                yield (
                    f"{row.call_id} was cut {row.ended_at - started_at:.2f} s "
                    f"after SIGTERM of d{node}"
                )


def recovers(history: History) -> Iterator[str]:
    """After the last fault nearly every request is served, also on the newest route."""
    served = sum(row.outcome is RequestOutcome.ANSWERED for row in history.final_requests)
    if served < MIN_SERVED_SHARE * len(history.final_requests):
        lost = [
            f"d{row.node}:{row.status}"
            for row in history.final_requests
            if row.outcome != RequestOutcome.ANSWERED
        ]
        yield f"{served} of {len(history.final_requests)} served at the end; {' '.join(lost[:8])}"


CHECKS: tuple[Check, ...] = (
    runs_once,
    refusals_are_true,
    answers_are_own,
    leaves_bind,
    versions_rise,
    daemons_live,
    stops_are_graceful,
    recovers,
)


def violations(history: History) -> Iterator[str]:
    """Yield every violation, with the name of its promise."""
    for check in CHECKS:
        for text in check(history):
            yield f"{check.__name__}: {text}"
