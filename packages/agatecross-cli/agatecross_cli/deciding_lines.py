"""Finds the log line that decided the end of a call, for each reason that has one."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, islice
from typing import Protocol

from agatecross_core.states import Reason

from .event_lines import EventLine
from .process_events import ProcessEvents

# The end of a call and the loss that caused it are logged by two processes, whose clocks may differ
# slightly, and a loss is detected with a delay.
CLOCK_MARGIN_SECONDS = 0.5
# A killed daemon logs nothing; its next start within this time shows that it was killed.
MAX_RESTART_SECONDS = 30.0
# A stopping daemon ends the calls that it cuts off at most 30 ms before its last line.
MAX_STOP_DELAY_SECONDS = 0.05


class LineFinder(Protocol):
    """Finds the line that decided the end of a call."""

    def __call__(
        self, end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
    ) -> Iterator[EventLine]:
        """Yield the deciding line first, then lines that explain it; nothing if there is none."""
        ...


def find_refusal(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the last refusal of the call by an upstream's daemon, for the same reason."""
    del process_events
    wanted = ("handover_failed", end.pairs.get("call_id"), end.pairs.get("reason"))
    found = (
        row
        for row in reversed(rows)
        if (row.event, row.pairs.get("call_id"), row.pairs.get("reason")) == wanted
    )
    yield from islice(found, 1)


def find_config_events(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the events that put the deciding version and the next one in force."""
    del rows
    version = end.pairs.get("version")
    config_events = process_events.before(end.process, "config_in_force", end.time)
    yield from islice((row for row in config_events if row.pairs.get("version") == version), 1)
    yield from islice(process_events.after(end.process, "config_in_force", end.time), 1)


def find_daemon_start(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the start of the daemon and the event that put its first version in force."""
    del rows
    yield from islice(process_events.before(end.process, "daemon_started", end.time), 1)
    yield from islice(process_events.after(end.process, "config_in_force", end.time), 1)


def find_upstream_loss(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the end of the upstream or of its daemon, or the loss of the link to it."""
    del rows
    upstream = end.pairs.get("upstream", "")
    upstream_process = process_events.process_of(upstream)
    begin = end.time - _call_seconds(end) - CLOCK_MARGIN_SECONDS
    until = end.time + CLOCK_MARGIN_SECONDS
    found = chain(
        process_events.between(upstream_process, "upstream_died", begin, until),
        process_events.between(upstream_process, "upstream_unreachable", begin, until),
        process_events.between(upstream_process, "daemon_stopped", begin, until),
        process_events.between(
            upstream_process, "daemon_started", begin, end.time + MAX_RESTART_SECONDS
        ),
        (
            row
            for row in process_events.between(end.process, "peers_changed", begin, until)
            if upstream in row.pairs.get("lost", "").split(",")
        ),
    )
    yield from islice(found, 1)


def find_endpoint_events(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the last events that told the daemon about an upstream of the service."""
    del rows
    service = end.pairs.get("service", "")
    endpoint_events = list(process_events.before(end.process, "endpoint_learnt", end.time))
    service_events = [row for row in endpoint_events if row.pairs.get("service") == service]
    daemons = {row.pairs.get("daemon", "") for row in service_events}
    lost = (
        row
        for row in process_events.before(end.process, "peers_changed", end.time)
        if daemons & set(row.pairs.get("lost", "").split(","))
    )
    yield from sorted(
        [*service_events[:1], *islice(lost, 1)], key=lambda row: row.time, reverse=True
    )


def find_crash_report(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the last crash of an upstream that was reported to the daemon."""
    del rows
    yield from islice(process_events.before(end.process, "strikes_learnt", end.time), 1)


def find_daemon_stop(
    end: EventLine, rows: Sequence[EventLine], process_events: ProcessEvents
) -> Iterator[EventLine]:
    """Yield the stop of the daemon that cut the call off."""
    del rows
    until = end.time + MAX_STOP_DELAY_SECONDS
    # Both lines may have the same time, and `between` excludes its start.
    yield from islice(
        process_events.between(end.process, "daemon_stopped", end.time - 0.001, until), 1
    )


LINE_FINDERS: Mapping[str, LineFinder] = {
    Reason.OVERLOADED.value: find_refusal,
    Reason.OVER_SHARE.value: find_refusal,
    Reason.DEADLINE.value: find_refusal,
    Reason.TIMEOUT.value: find_refusal,
    Reason.SHED.value: find_refusal,
    Reason.WRONG_INSTANCE.value: find_refusal,
    Reason.LEAVING.value: find_refusal,
    Reason.CONNECT_FAILED.value: find_refusal,
    Reason.BAD_ANSWER.value: find_refusal,
    Reason.NO_ROUTE.value: find_config_events,
    Reason.NO_CONFIGURATION.value: find_daemon_start,
    Reason.CONNECTION_LOST.value: find_upstream_loss,
    Reason.NO_UPSTREAM.value: find_endpoint_events,
    Reason.QUARANTINED.value: find_crash_report,
    Reason.CUT.value: find_daemon_stop,
}


def end_reason(end: EventLine, process_events: ProcessEvents) -> str:
    """Return the reason of a call's end.

    A call that was cut off by the stop of its daemon is logged as cancelled; its reason is `cut`.
    """
    reason = end.pairs.get("reason", "")
    if reason == Reason.CANCELLED.value and any(find_daemon_stop(end, (), process_events)):
        return Reason.CUT.value
    return reason


def find_deciding_lines(
    end: EventLine, reason: str, rows: Sequence[EventLine], process_events: ProcessEvents
) -> tuple[EventLine, ...]:
    """Return the deciding line first, then lines that explain it; by default the end itself."""
    find = LINE_FINDERS.get(reason)
    found: Iterable[EventLine] = find(end, rows, process_events) if find else ()
    return tuple(found) or (end,)


def _call_seconds(end: EventLine) -> float:
    duration_ms = end.pairs.get("took_ms", "")
    return int(duration_ms) / 1000 if duration_ms.isdigit() else 0.0
