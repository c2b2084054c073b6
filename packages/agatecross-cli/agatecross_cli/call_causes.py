"""Which event decided the fate of a call, and what it means for a reader."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from agatecross_core.states import Outcome, Reason

from .deciding_lines import deciding_lines, reason_of
from .event_lines import EventLine
from .process_facts import ProcessFacts

REFUSAL = "handover_failed"
CALL_EVENTS = ("call", "call_refused")
SERVER_ERROR = 500
MEANINGS: Mapping[str, str] = {
    Reason.OVERLOADED.value: "every upstream that was asked had a queue longer than the objective",
    Reason.DEADLINE.value: "it waited for a slot until its time was up",
    Reason.TIMEOUT.value: "the upstream did not answer within the route's or the caller's time",
    Reason.CANCELLED.value: "the caller closed its connection",
    Reason.CUT.value: "the daemon that the caller reached stopped before it had ended",
    Reason.CONNECTION_LOST.value: "the upstream or its daemon was lost while it ran",
    Reason.BAD_ANSWER.value: "the upstream's answer was cut off or spoilt",
    Reason.ANSWER_TOO_LARGE.value: "the upstream's answer did not end within the limits",
    Reason.SHED.value: "the upstream refused it as not run",
    Reason.WRONG_INSTANCE.value: "another instance had the upstream's address",
    Reason.LEAVING.value: "the upstreams that were asked are leaving",
    Reason.NO_UPSTREAM.value: "no upstream of the service was known and ready",
    Reason.NO_ROUTE.value: "the configuration in force had no route for it",
    Reason.NO_CONFIGURATION.value: "the daemon had no configuration yet",
    Reason.QUARANTINED.value: "earlier runs of the same request crashed upstreams",
    Reason.CONNECT_FAILED.value: "no connection to the upstreams that were asked",
    "upstream-failed": "the upstream answered with a failure",
}


@dataclass(frozen=True, slots=True)
class Cause:
    """The cause of one call's end; `deciding` decided it, `background` explains that event."""

    call_id: str
    outcome: str
    cause: str
    meaning: str
    deciding: EventLine
    background: tuple[EventLine, ...] = ()


def belongs(event: EventLine, call_id: str) -> bool:
    """Return whether an event is about the call or about a call that its run made."""
    found = event.pairs.get("call_id", "")
    return found == call_id or found.startswith(f"{call_id}.")


def cause_of(call_id: str, events: Iterable[EventLine], facts: ProcessFacts) -> Cause | None:
    """Return the cause from the call's events, or None when its end was not logged.

    When an upstream answered with a failure, a failed call that its run made is the deeper cause.
    """
    rows = sorted(events, key=lambda row: row.time)
    ends = [row for row in rows if is_end(row)]
    own = [row for row in ends if row.pairs["call_id"] == call_id]
    if not own:
        return None
    end = own[-1]
    if end.pairs.get("outcome") == Outcome.RAN.value and failed(end):
        inner = [row for row in ends if row.pairs["call_id"] != call_id and failed(row)]
        if inner:
            return _inner_cause(end, inner[-1], "a call it made", rows, facts)
        ended = {row.pairs["call_id"] for row in ends}
        refused = [
            row for row in rows if row.event == REFUSAL and row.pairs["call_id"] not in ended
        ]
        if refused:
            # A later try may have been served; the end that would say so was left out.
            made = "a call it made, whose end was not logged"
            return _inner_cause(end, refused[-1], made, rows, facts)
    reason = reason_of(end, facts) or ("upstream-failed" if failed(end) else "served")
    meaning = MEANINGS.get(reason, "the upstream answered")
    return _cause(end, end, reason, meaning, rows, facts)


def is_end(row: EventLine) -> bool:
    """Return whether an event is the end of a call; a line that was cut too early is not."""
    ran = row.pairs.get("outcome") == Outcome.RAN.value
    return row.event in CALL_EVENTS and ("status" if ran else "reason") in row.pairs


def failed(end: EventLine) -> bool:
    """Return whether a call did not end with an answer below 500."""
    status = end.pairs.get("status", "")
    ran = end.pairs.get("outcome") == Outcome.RAN.value
    return not ran or not status.isdigit() or int(status) >= SERVER_ERROR


def _inner_cause(
    end: EventLine, inner: EventLine, made: str, rows: Sequence[EventLine], facts: ProcessFacts
) -> Cause:
    reason = reason_of(inner, facts) or "upstream-failed"
    meaning = MEANINGS.get(reason, "the upstream answered with a failure")
    found = _cause(end, inner, reason, f"{made}: {meaning}", rows, facts)
    return replace(found, cause=f"inner:{reason}")


def _cause(
    end: EventLine,
    failure: EventLine,
    reason: str,
    meaning: str,
    rows: Sequence[EventLine],
    facts: ProcessFacts,
) -> Cause:
    outcome = end.pairs.get("outcome", Outcome.NOT_RUN.value)
    deciding, *background = deciding_lines(failure, reason, rows, facts)
    call_id = end.pairs["call_id"]
    return Cause(call_id, outcome, reason, meaning, deciding, tuple(background))
