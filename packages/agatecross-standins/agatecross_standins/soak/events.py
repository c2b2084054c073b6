"""What callers saw of their requests."""

from dataclasses import dataclass, field
from enum import Enum

from agatecross_core.ids import CallId


class RequestOutcome(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class RequestRecord:
    """One request; times on the monotonic clock in seconds."""

    call_id: CallId
    node: int
    at_most_once: bool
    started_at: float
    ended_at: float
    outcome: RequestOutcome
    status: int = 0


@dataclass(frozen=True, slots=True)
class ConfirmedLeave:
    """An upstream whose leaving was confirmed at `at`, and when it began runs."""

    name: str
    at: float
    run_times: tuple[tuple[float, str], ...]


@dataclass(frozen=True, slots=True)
class VersionObservation:
    """A version in force on a daemon; `start` counts the starts of its process."""

    node: int
    restarts: int
    version: int


@dataclass(slots=True)
class History:
    """Everything that was seen in a run."""

    requests: list[RequestRecord] = field(default_factory=list)
    leaves: list[ConfirmedLeave] = field(default_factory=list)
    versions: list[VersionObservation] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    exits: list[tuple[int, int]] = field(default_factory=list)
    graceful_stops: list[tuple[int, float, float]] = field(default_factory=list)
    disturbances: list[tuple[int, float, float]] = field(default_factory=list)
    final_requests: list[RequestRecord] = field(default_factory=list)
    tracebacks: list[str] = field(default_factory=list)
