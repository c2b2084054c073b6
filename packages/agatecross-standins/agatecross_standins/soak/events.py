"""Records of what callers, upstreams and daemons did during a soak."""

from dataclasses import dataclass, field
from enum import Enum

from agatecross_core.ids import CallId

from .customers import MAIN_KEY


class RequestOutcome(Enum):
    """How a request ended for its caller.

    `REFUSED` is a status that means that the request was not run, and `BROKEN` a request without a
    complete response. `FOREIGN` is a successful response whose body does not end with the id of the
    request.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request and its outcome; times on the monotonic clock in seconds.

    `key` is the customer's key that it had.
    """

    call_id: CallId
    node: int
    at_most_once: bool
    started_at: float
    ended_at: float
    outcome: RequestOutcome
    status: int = 0
    key: str = MAIN_KEY


@dataclass(frozen=True, slots=True)
class LimitedTime:
    """A time in which the answers of an upstream named a limit in requests per second.

    `named_at` is the time of the first such answer; times are on the monotonic clock in seconds.
    """

    name: str
    limit: float
    named_at: float
    ended_at: float
    run_starts: tuple[tuple[float, str], ...]


@dataclass(frozen=True, slots=True)
class ConfirmedLeave:
    """An upstream whose leave was confirmed, with the start time and call id of each run."""

    name: str
    confirmed_at: float
    run_starts: tuple[tuple[float, str], ...]


@dataclass(frozen=True, slots=True)
class AnnouncedLeave:
    """An upstream whose answers said that it leaves, first at `said_at`, with its runs."""

    name: str
    said_at: float
    run_starts: tuple[tuple[float, str], ...]


@dataclass(frozen=True, slots=True)
class VersionObservation:
    """A version in force on a daemon whose process had been restarted `restarts` times.

    It was asked for at `at`, on the monotonic clock in seconds.
    """

    node: int
    restarts: int
    version: int
    at: float = 0.0


@dataclass(slots=True)
class History:
    """Everything recorded in one run.

    `runs` counts the runs of each call id, `first_runs` has the start of the first one, and `exits`
    holds the node number and the exit code of each exit. `final_requests` are sent after the fleet
    has had time to recover.
    `published` holds each version written by a fault, with the time.
    `graceful_stops` and `disturbances` hold the node number with the start and the end of the
    interval; the number -1 in a disturbance stands for every node. `restarts` holds the node number
    and the time of each signal that ends or pauses a daemon, and of the end of each graceful stop.
    """

    requests: list[RequestRecord] = field(default_factory=list)
    limited_times: list[LimitedTime] = field(default_factory=list)
    leaves: list[ConfirmedLeave] = field(default_factory=list)
    versions: list[VersionObservation] = field(default_factory=list)
    published: list[tuple[int, float]] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    first_runs: dict[str, float] = field(default_factory=dict)
    exits: list[tuple[int, int]] = field(default_factory=list)
    graceful_stops: list[tuple[int, float, float]] = field(default_factory=list)
    announced_leaves: list[AnnouncedLeave] = field(default_factory=list)
    restarts: list[tuple[int, float]] = field(default_factory=list)
    disturbances: list[tuple[int, float, float]] = field(default_factory=list)
    final_requests: list[RequestRecord] = field(default_factory=list)
    tracebacks: list[str] = field(default_factory=list)
