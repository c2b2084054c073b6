"""Filters over the history of a soak; each yields the violations of one promise."""

from collections.abc import Callable, Iterator

from .events import History, Seen

Check = Callable[[History], Iterator[str]]
# The platform's bound on new work after a leave was confirmed.
DRAIN_SECONDS = 2.0
# SIGKILL and the exit codes of a graceful stop; any other code is a crash of the daemon itself.
EXPECTED_EXITS = frozenset((0, -9))
# Of the requests after the last fault, this share must be served; one daemon of six may still wait.
SETTLED_SHARE = 0.95


def runs_once(history: History) -> Iterator[str]:
    """No request that may not be repeated runs twice."""
    for row in history.asked:
        if row.once and history.runs.get(row.call_id, 0) > 1:
            yield f"{row.call_id} ran {history.runs[row.call_id]} times"


def refusals_are_true(history: History) -> Iterator[str]:
    """No request that was refused as not run has run."""
    for row in history.asked:
        if row.seen is Seen.REFUSED and row.once and history.runs.get(row.call_id, 0):
            yield f"{row.call_id} was answered {row.status} and ran"


def answers_are_own(history: History) -> Iterator[str]:
    """Each answer with success belongs to the request and is whole."""
    for row in history.asked:
        if row.seen is Seen.FOREIGN:
            yield f"{row.call_id} got a foreign or cut answer, status {row.status}"
        if row.seen is Seen.ANSWERED and not history.runs.get(row.call_id, 0):
            yield f"{row.call_id} was answered {row.status} and no upstream ran it"


def leaves_bind(history: History) -> Iterator[str]:
    """No new work reaches an upstream after its leaving was confirmed."""
    for row in history.left:
        rows = [(at - row.at, call_id) for at, call_id in row.run_times]
        late = [found for found in rows if found[0] > DRAIN_SECONDS]
        if late:
            # An id that no caller of this soak used is a request from outside it.
            ids = " ".join(call_id or "-" for _, call_id in late[:4])
            last = max(late)[0]
            yield f"{row.name} began {len(late)} runs up to {last:.2f} s after its leave: {ids}"


def versions_rise(history: History) -> Iterator[str]:
    """The version in force never goes down within a process."""
    newest: dict[tuple[int, int], int] = {}
    for row in history.versions:
        key = (row.node, row.start)
        if row.version < newest.get(key, 0):
            yield f"d{row.node} start {row.start} went from {newest[key]} to {row.version}"
        newest[key] = max(newest.get(key, 0), row.version)


def daemons_live(history: History) -> Iterator[str]:
    """No daemon ends by itself or logs a traceback."""
    for node, code in history.exits:
        if code not in EXPECTED_EXITS:
            yield f"d{node} ended with code {code}"
    yield from history.tracebacks


def stops_are_graceful(history: History) -> Iterator[str]:
    """A stopping daemon cuts no request that it read, unless a fault hit it meanwhile."""
    for node, begun, ended in history.terms:
        hit = any(n in (node, -1) and a < ended and begun < b for n, a, b in history.disturbed)
        for row in history.asked if not hit else ():
            if row.node == node and row.seen is Seen.BROKEN and begun < row.ended <= ended:
                yield f"{row.call_id} was cut {row.ended - begun:.2f} s after SIGTERM of d{node}"


def recovers(history: History) -> Iterator[str]:
    """After the last fault nearly every request is served, also on the newest route."""
    served = sum(row.seen is Seen.ANSWERED for row in history.settled)
    if served < SETTLED_SHARE * len(history.settled):
        lost = [f"d{row.node}:{row.status}" for row in history.settled if row.seen != Seen.ANSWERED]
        yield f"{served} of {len(history.settled)} served at the end; {' '.join(lost[:8])}"


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
