"""Checks a recorded history against the invariants I1 to I9 of the design page.

Each invariant is a generator filter that passes every item on and adds the violations that it
finds. Times are wall-clock seconds of one machine.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum
from functools import reduce

# Limits of I7 and I9.
MAX_START_AFTER_ANNOUNCED_LEAVE_SECONDS = 5.0
MAX_IN_FORCE_DELAY_SECONDS = 6.0


class Invariant(Enum):
    """Invariants from section 1.2 of the design page."""

    NO_REVERT = "I1"
    NO_DANGLING_ROUTE = "I2"
    NO_PARTIAL_VERSION = "I3"
    OWN_COMPLETE_RESPONSE = "I4"
    NOT_RUN_IS_NOT_RUN = "I5"
    AT_MOST_ONCE = "I6"
    NO_WORK_WHEN_LEAVING = "I7"
    GRACEFUL_SHUTDOWN = "I8"
    IN_FORCE_EVERYWHERE = "I9"


@dataclass(frozen=True, slots=True)
class Published:
    """The fold accepted a publish as this version; `at` is when the publish was sent."""

    at: float
    version: int
    digest: str


@dataclass(frozen=True, slots=True)
class InForce:
    """A daemon has a version in force, with the services that its routes name and that it knows."""

    at: float
    daemon: str
    version: int
    digest: str
    routed: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Undisturbed:
    """These daemons ran without a fault in the seconds before `at`."""

    at: float
    daemons: frozenset[str]


@dataclass(frozen=True, slots=True)
class Sent:
    """A caller sent a request to a daemon; resubmissions have the same request and key."""

    at: float
    call: str
    request: str
    daemon: str
    idempotent: bool
    key: str = ""


@dataclass(frozen=True, slots=True)
class Started:
    """An upstream started to execute a request."""

    at: float
    request: str
    upstream: str


@dataclass(frozen=True, slots=True)
class Answered:
    """A call ran and its caller got the response; `echo` is the request that it belongs to."""

    at: float
    call: str
    echo: str
    whole: bool = True


@dataclass(frozen=True, slots=True)
class Refused:
    """A call was refused with the outcome not-run."""

    at: float
    call: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The connection of a call closed without a response."""

    at: float
    call: str


@dataclass(frozen=True, slots=True)
class UnknownOutcome:
    """A call was answered with an unknown outcome, or its caller gave up waiting."""

    at: float
    call: str


@dataclass(frozen=True, slots=True)
class Leaving:
    """An upstream announced that it is leaving."""

    at: float
    upstream: str


@dataclass(frozen=True, slots=True)
class Returned:
    """An upstream that was leaving accepts work again, or a new process replaced it."""

    at: float
    upstream: str


@dataclass(frozen=True, slots=True)
class ShutdownBegun:
    """A daemon was asked to shut down gracefully."""

    at: float
    daemon: str


@dataclass(frozen=True, slots=True)
class ShutdownEnded:
    """The process of the daemon exited."""

    at: float
    daemon: str


Event = (
    Published
    | InForce
    | Undisturbed
    | Sent
    | Started
    | Answered
    | Refused
    | Broken
    | UnknownOutcome
    | Leaving
    | Returned
    | ShutdownBegun
    | ShutdownEnded
)


@dataclass(frozen=True, slots=True)
class Violation:
    """A violated invariant, with the events that show the violation."""

    invariant: Invariant
    events: tuple[Event, ...]

    def __str__(self) -> str:
        """Return one line for the violation and one for each event."""
        return "\n  ".join((f"violation of {self.invariant.value}", *map(str, self.events)))


Items = Iterator[Event | Violation]
Filter = Callable[[Items], Items]


def check_history(events: Iterable[Event]) -> Iterator[Violation]:
    """Run the events, ordered by time, through every filter and yield the violations."""
    ordered: list[Event | Violation] = [*sorted(events, key=lambda event: event.at)]
    start: Items = iter(ordered)
    filtered = reduce(lambda items, step: step(items), FILTERS, start)
    yield from (item for item in filtered if isinstance(item, Violation))


def no_revert(items: Items) -> Items:
    """I1: the version in force on a daemon never decreases, not even across its restarts."""
    last: dict[str, InForce] = {}
    for item in items:
        yield item
        if not isinstance(item, InForce):
            continue
        before = last.get(item.daemon)
        if before is not None and item.version < before.version:
            yield Violation(Invariant.NO_REVERT, (before, item))
        last[item.daemon] = item


def no_dangling_route(items: Items) -> Items:
    """I2: a daemon knows every service that its routes name."""
    for item in items:
        yield item
        if isinstance(item, InForce) and not item.routed <= item.services:
            yield Violation(Invariant.NO_DANGLING_ROUTE, (item,))


def no_partial_version(items: Items) -> Items:
    """I3: what is in force is exactly one accepted version."""
    accepted: dict[int, Published] = {}
    seen: list[InForce] = []
    for item in items:
        yield item
        if isinstance(item, Published):
            accepted[item.version] = item
        elif isinstance(item, InForce):
            seen.append(item)
    for row in seen:
        published = accepted.get(row.version)
        if published is None:
            yield Violation(Invariant.NO_PARTIAL_VERSION, (row,))
        elif published.digest != row.digest:
            yield Violation(Invariant.NO_PARTIAL_VERSION, (published, row))


def own_complete_response(items: Items) -> Items:
    """I4: a response is complete and belongs to the request of its call."""
    sent: dict[str, Sent] = {}
    for item in items:
        yield item
        if isinstance(item, Sent):
            sent[item.call] = item
        elif isinstance(item, Answered):
            call = sent.get(item.call)
            if call is None or not item.whole or item.echo != call.request:
                rows = (item,) if call is None else (call, item)
                yield Violation(Invariant.OWN_COMPLETE_RESPONSE, rows)


def not_run_is_not_run(items: Items) -> Items:
    """I5: a request whose submissions were all refused as not run was not executed."""
    sent: defaultdict[str, list[Sent]] = defaultdict(list)
    refused: dict[str, Refused] = {}
    started: defaultdict[str, list[Started]] = defaultdict(list)
    for item in items:
        yield item
        if isinstance(item, Sent):
            sent[item.request].append(item)
        elif isinstance(item, Refused):
            refused[item.call] = item
        elif isinstance(item, Started):
            started[item.request].append(item)
    for request, rows in started.items():
        refusals = [refused[call.call] for call in sent[request] if call.call in refused]
        if refusals and len(refusals) == len(sent[request]):
            evidence: tuple[Event, ...] = (*sent[request], *refusals, *rows)
            yield Violation(Invariant.NOT_RUN_IS_NOT_RUN, evidence)


def at_most_once(items: Items) -> Items:
    """I6: a non-idempotent request, resent or not, starts at most once."""
    once: defaultdict[str, list[Sent]] = defaultdict(list)
    started: defaultdict[str, list[Started]] = defaultdict(list)
    for item in items:
        yield item
        if isinstance(item, Sent) and not item.idempotent:
            once[item.request].append(item)
        elif isinstance(item, Started):
            started[item.request].append(item)
    for request, calls in once.items():
        if len(started[request]) > 1:
            yield Violation(Invariant.AT_MOST_ONCE, (*calls, *started[request]))


def no_work_when_leaving(items: Items) -> Items:
    """I7: an upstream starts nothing once the limit after it announced leaving has passed."""
    leaving: dict[str, Leaving] = {}
    for item in items:
        yield item
        if isinstance(item, Leaving):
            leaving.setdefault(item.upstream, item)
        elif isinstance(item, Returned):
            leaving.pop(item.upstream, None)
        elif isinstance(item, Started):
            since = leaving.get(item.upstream)
            if since is not None and item.at > since.at + MAX_START_AFTER_ANNOUNCED_LEAVE_SECONDS:
                yield Violation(Invariant.NO_WORK_WHEN_LEAVING, (since, item))


def graceful_shutdown(items: Items) -> Items:
    """I8: a graceful shutdown breaks no call that was sent before it began."""
    open_calls: dict[str, Sent] = {}
    begun: dict[str, ShutdownBegun] = {}
    for item in items:
        yield item
        if isinstance(item, Sent):
            open_calls[item.call] = item
        elif isinstance(item, Answered | Refused | UnknownOutcome):
            open_calls.pop(item.call, None)
        elif isinstance(item, ShutdownBegun):
            begun[item.daemon] = item
        elif isinstance(item, Broken):
            call = open_calls.pop(item.call, None)
            shutdown = begun.get(call.daemon) if call else None
            if call and shutdown and call.at < shutdown.at:
                yield Violation(Invariant.GRACEFUL_SHUTDOWN, (call, shutdown, item))


def in_force_everywhere(items: Items) -> Items:
    """I9: undisturbed daemons have in force the newest version that is due, or a later one.

    A version is due `MAX_IN_FORCE_DELAY_SECONDS` after its publish was sent.
    """
    published: list[Published] = []
    last: dict[str, InForce] = {}
    for item in items:
        yield item
        if isinstance(item, Published):
            published.append(item)
        elif isinstance(item, InForce):
            last[item.daemon] = item
        elif isinstance(item, Undisturbed):
            due = [row for row in published if row.at <= item.at - MAX_IN_FORCE_DELAY_SECONDS]
            newest = max(due, key=lambda row: row.version, default=None)
            for daemon in sorted(item.daemons) if newest else ():
                current = last.get(daemon)
                if newest and (current is None or current.version < newest.version):
                    rows = (newest, current, item) if current else (newest, item)
                    yield Violation(Invariant.IN_FORCE_EVERYWHERE, rows)


FILTERS: tuple[Filter, ...] = (
    no_revert,
    no_dangling_route,
    no_partial_version,
    own_complete_response,
    not_run_is_not_run,
    at_most_once,
    no_work_when_leaving,
    graceful_shutdown,
    in_force_everywhere,
)
