"""What callers saw of their requests."""

from dataclasses import dataclass, field
from enum import Enum

from agatecross_core.ids import CallId


class Seen(Enum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    FOREIGN = "foreign"


@dataclass(frozen=True, slots=True)
class Asked:
    """One request; times on the monotonic clock in seconds."""

    call_id: CallId
    node: int
    once: bool
    begun: float
    ended: float
    seen: Seen
    status: int = 0


@dataclass(frozen=True, slots=True)
class Left:
    """An upstream whose leaving was confirmed at `at`, and when it began runs."""

    name: str
    at: float
    run_times: tuple[tuple[float, str], ...]


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A version in force on a daemon; `start` counts the starts of its process."""

    node: int
    start: int
    version: int


@dataclass(slots=True)
class History:
    """Everything that was seen in a run."""

    asked: list[Asked] = field(default_factory=list)
    left: list[Left] = field(default_factory=list)
    versions: list[VersionSeen] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    exits: list[tuple[int, int]] = field(default_factory=list)
    terms: list[tuple[int, float, float]] = field(default_factory=list)
    disturbed: list[tuple[int, float, float]] = field(default_factory=list)
    settled: list[Asked] = field(default_factory=list)
    tracebacks: list[str] = field(default_factory=list)
