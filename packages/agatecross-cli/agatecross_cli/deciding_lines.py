"""Finds the line that decided the end of a call, for each reason that has one."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import chain, islice
from typing import Protocol

from agatecross_core.states import Reason

from .event_lines import EventLine
from .process_facts import ProcessFacts

# The end of a call and the loss that caused it are written by two processes, whose clocks may
# differ a little, and a loss is noticed late.
MARGIN_SECONDS = 0.5
# A killed daemon writes nothing; its next start shows that it was killed.
RESTART_SECONDS = 30.0
# A stopping daemon ends the calls that it cuts at most 30 ms before its last line.
STOP_SECONDS = 0.05


class DecidingLine(Protocol):
    """Finds the deciding line of a call's end."""

    def __call__(
        self, end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts
    ) -> Iterator[EventLine]:
        """Yield the deciding line first, then lines that explain it; nothing when none is known."""
        ...


def refusal(end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts) -> Iterator[EventLine]:
    """Yield the last refusal of the call by the daemon beside an upstream, for the same reason."""
    del facts
    wanted = ("handover_failed", end.pairs.get("call_id"), end.pairs.get("reason"))
    found = (
        row
        for row in reversed(rows)
        if (row.event, row.pairs.get("call_id"), row.pairs.get("reason")) == wanted
    )
    yield from islice(found, 1)


def configuration(
    end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts
) -> Iterator[EventLine]:
    """Yield when the daemon took up the version that decided, and when the next one."""
    del rows
    version = end.pairs.get("version")
    taken = facts.before(end.process, "config_in_force", end.time)
    yield from islice((row for row in taken if row.pairs.get("version") == version), 1)
    yield from islice(facts.after(end.process, "config_in_force", end.time), 1)


def start(end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts) -> Iterator[EventLine]:
    """Yield the start of the daemon, and when it took up its first configuration."""
    del rows
    yield from islice(facts.before(end.process, "daemon_started", end.time), 1)
    yield from islice(facts.after(end.process, "config_in_force", end.time), 1)


def lost_upstream(
    end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts
) -> Iterator[EventLine]:
    """Yield the end of the upstream or of the daemon beside it, or how the link was lost."""
    del rows
    upstream = end.pairs.get("upstream", "")
    beside = facts.process_of(upstream)
    begin = end.time - _seconds(end) - MARGIN_SECONDS
    until = end.time + MARGIN_SECONDS
    found = chain(
        facts.between(beside, "upstream_died", begin, until),
        facts.between(beside, "upstream_unreachable", begin, until),
        facts.between(beside, "daemon_stopped", begin, until),
        facts.between(beside, "daemon_started", begin, end.time + RESTART_SECONDS),
        (
            row
            for row in facts.between(end.process, "peers_changed", begin, until)
            if upstream in row.pairs.get("lost", "").split(",")
        ),
    )
    yield from islice(found, 1)


def belief(end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts) -> Iterator[EventLine]:
    """Yield what the daemon learnt last of an upstream of the service."""
    del rows
    service = end.pairs.get("service", "")
    learnt = list(facts.before(end.process, "endpoint_learnt", end.time))
    own = [row for row in learnt if row.pairs.get("service") == service]
    daemons = {row.pairs.get("daemon", "") for row in own}
    lost = (
        row
        for row in facts.before(end.process, "peers_changed", end.time)
        if daemons & set(row.pairs.get("lost", "").split(","))
    )
    yield from sorted([*own[:1], *islice(lost, 1)], key=lambda row: row.time, reverse=True)


def strikes(end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts) -> Iterator[EventLine]:
    """Yield the last crash of an upstream that the daemon learnt of."""
    del rows
    yield from islice(facts.before(end.process, "strikes_learnt", end.time), 1)


def stop(end: EventLine, rows: Sequence[EventLine], facts: ProcessFacts) -> Iterator[EventLine]:
    """Yield the stop of the daemon that cut the call."""
    del rows
    until = end.time + STOP_SECONDS
    # Both lines may have the same time.
    yield from islice(facts.between(end.process, "daemon_stopped", end.time - 0.001, until), 1)


DECIDING_LINES: Mapping[str, DecidingLine] = {
    Reason.OVERLOADED.value: refusal,
    Reason.DEADLINE.value: refusal,
    Reason.TIMEOUT.value: refusal,
    Reason.SHED.value: refusal,
    Reason.WRONG_INSTANCE.value: refusal,
    Reason.LEAVING.value: refusal,
    Reason.CONNECT_FAILED.value: refusal,
    Reason.BAD_ANSWER.value: refusal,
    Reason.NO_ROUTE.value: configuration,
    Reason.NO_CONFIGURATION.value: start,
    Reason.CONNECTION_LOST.value: lost_upstream,
    Reason.NO_UPSTREAM.value: belief,
    Reason.QUARANTINED.value: strikes,
    Reason.CUT.value: stop,
}


def reason_of(end: EventLine, facts: ProcessFacts) -> str:
    """Return the reason of a call's end; a call that its daemon's stop cut was not cancelled."""
    reason = end.pairs.get("reason", "")
    if reason == Reason.CANCELLED.value and any(stop(end, (), facts)):
        return Reason.CUT.value
    return reason


def deciding_lines(
    end: EventLine, reason: str, rows: Sequence[EventLine], facts: ProcessFacts
) -> tuple[EventLine, ...]:
    """Return the deciding line first, then lines that explain it; the end itself at the least."""
    find = DECIDING_LINES.get(reason)
    found: Iterable[EventLine] = find(end, rows, facts) if find else ()
    return tuple(found) or (end,)


def _seconds(end: EventLine) -> float:
    taken = end.pairs.get("took_ms", "")
    return int(taken) / 1000 if taken.isdigit() else 0.0
