"""Determines the event that caused the end of a call, and describes it for operators."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, replace

from agatecross_core.states import Outcome, Reason

from .deciding_lines import end_reason, find_deciding_lines
from .event_lines import EventLine
from .process_events import ProcessEvents

REFUSAL_EVENT = "handover_failed"
CALL_END_EVENTS = ("call", "call_refused")
SERVER_ERROR_STATUS = 500
REASON_MEANINGS: Mapping[str, str] = {
    Reason.OVERLOADED.value: "every upstream that was asked had a queue longer than the objective",
    Reason.OVER_SHARE.value: "its customer asked for more than its fair share of a full upstream",
    Reason.DEADLINE.value: "the call could not end before its deadline any more",
    Reason.TIMEOUT.value: "the upstream did not answer within the route's or the caller's timeout",
    Reason.CANCELLED.value: "the caller closed its connection",
    Reason.CUT.value: "the caller's daemon stopped before the call ended",
    Reason.CONNECTION_LOST.value: "the upstream or its daemon was lost while the call ran",
    Reason.BAD_ANSWER.value: "the upstream's response was truncated or malformed",
    Reason.ANSWER_TOO_LARGE.value: "the upstream's response exceeded the limits",
    Reason.SHED.value: "the upstream refused the call without running it",
    Reason.WRONG_INSTANCE.value: "another instance had the upstream's address",
    Reason.LEAVING.value: "the upstreams that were asked are leaving",
    Reason.NO_UPSTREAM.value: "no upstream of the service was known and ready",
    Reason.NO_ROUTE.value: "the configuration in force had no route for the call",
    Reason.NO_CONFIGURATION.value: "the daemon had no configuration yet",
    Reason.QUARANTINED.value: "earlier runs of the same request crashed upstreams",
    Reason.CONNECT_FAILED.value: "could not connect to the upstreams that were asked",
    Reason.OTHER.value: "another daemon of a later release gave a reason unknown to this one",
    "upstream-failed": "the upstream answered with a failure",
}


@dataclass(frozen=True, slots=True)
class Cause:
    """Why a call ended as it did: the `deciding` event, and `background` events that explain it."""

    call_id: str
    outcome: str
    cause: str
    meaning: str
    deciding: EventLine
    background: tuple[EventLine, ...] = ()


def is_event_of_call(event: EventLine, call_id: str) -> bool:
    """Return whether an event belongs to the call or to a call made while it ran."""
    event_call_id = event.pairs.get("call_id", "")
    return event_call_id == call_id or event_call_id.startswith(f"{call_id}.")


def find_cause(
    call_id: str, events: Iterable[EventLine], process_events: ProcessEvents
) -> Cause | None:
    """Return the cause from the call's events, or `None` when its end was not logged.

    When the upstream answered with a failure, a failed call made while it ran is the root cause.
    """
    rows = sorted(events, key=lambda row: row.time)
    ends = [row for row in rows if is_call_end(row)]
    own_ends = [row for row in ends if row.pairs["call_id"] == call_id]
    if not own_ends:
        return None
    end = own_ends[-1]
    if end.pairs.get("outcome") == Outcome.RAN.value and is_failed_call(end):
        inner = [row for row in ends if row.pairs["call_id"] != call_id and is_failed_call(row)]
        if inner:
            return _inner_cause(end, inner[-1], "a call made by the upstream", rows, process_events)
        ended = {row.pairs["call_id"] for row in ends}
        refused = [
            row for row in rows if row.event == REFUSAL_EVENT and row.pairs["call_id"] not in ended
        ]
        if refused:
            # A later attempt may have been served, but the daemon left its end out of the log.
            prefix = "a call made by the upstream, whose end was not logged"
            return _inner_cause(end, refused[-1], prefix, rows, process_events)
    reason = end_reason(end, process_events) or (
        "upstream-failed" if is_failed_call(end) else "served"
    )
    meaning = REASON_MEANINGS.get(reason, "the upstream answered")
    return _new_cause(end, end, reason, meaning, rows, process_events)


def is_call_end(row: EventLine) -> bool:
    """Return whether an event is the end of a call; a line truncated too early is not."""
    ran = row.pairs.get("outcome") == Outcome.RAN.value
    return row.event in CALL_END_EVENTS and ("status" if ran else "reason") in row.pairs


def is_failed_call(end: EventLine) -> bool:
    """Return whether a call did not end with a response whose status is below 500."""
    status = end.pairs.get("status", "")
    ran = end.pairs.get("outcome") == Outcome.RAN.value
    return not ran or not status.isdigit() or int(status) >= SERVER_ERROR_STATUS


def _inner_cause(
    end: EventLine,
    inner: EventLine,
    prefix: str,
    rows: Sequence[EventLine],
    process_events: ProcessEvents,
) -> Cause:
    reason = end_reason(inner, process_events) or "upstream-failed"
    meaning = REASON_MEANINGS.get(reason, "the upstream answered with a failure")
    found = _new_cause(end, inner, reason, f"{prefix}: {meaning}", rows, process_events)
    return replace(found, cause=f"inner:{reason}")


def _new_cause(
    end: EventLine,
    failure: EventLine,
    reason: str,
    meaning: str,
    rows: Sequence[EventLine],
    process_events: ProcessEvents,
) -> Cause:
    outcome = end.pairs.get("outcome", Outcome.NOT_RUN.value)
    deciding, *background = find_deciding_lines(failure, reason, rows, process_events)
    call_id = end.pairs["call_id"]
    return Cause(call_id, outcome, reason, meaning, deciding, tuple(background))
