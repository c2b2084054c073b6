"""Messages and actions of admission control next to the upstream."""

from dataclasses import dataclass
from enum import Enum

from ..calls.model import Call
from ..ids import CallId, Millis
from ..states import Reason, UpstreamState, WorkClass


class CallEnding(Enum):
    """How a started call ended on the upstream."""

    COMPLETED = "completed"
    SHED = "shed"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A call arrived and has to be started, queued or refused."""

    call: Call


@dataclass(frozen=True, slots=True)
class CallFinished:
    """A started call ended."""

    call_id: CallId
    ending: CallEnding


@dataclass(frozen=True, slots=True)
class CallCancelled:
    """The sender of the call closed its connection."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class CapacityAnnounced:
    """The upstream announced its slots, its connection limit and its state."""

    slots: int
    connections: int
    state: UpstreamState


@dataclass(frozen=True, slots=True)
class LeaseExpired:
    """The upstream has not announced itself within its lease."""


@dataclass(frozen=True, slots=True)
class ClassPolicy:
    """Calls of at least `long_ms` are long and use at most `long_share` of the limit."""

    long_ms: Millis
    long_share: float


DEFAULT_CLASS_POLICY = ClassPolicy(Millis(500), 0.25)


@dataclass(frozen=True, slots=True)
class DaemonLeaving:
    """The daemon is leaving: no waiting or arriving call will be started."""


@dataclass(frozen=True, slots=True)
class TimePassed:
    """Periodic tick."""


AdmissionMessage = (
    CallArrived
    | CallFinished
    | CallCancelled
    | CapacityAnnounced
    | LeaseExpired
    | ClassPolicy
    | DaemonLeaving
    | TimePassed
)


@dataclass(frozen=True, slots=True)
class StartCall:
    """Action: send the call to the upstream now."""

    call: Call


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Action: refuse the call with the outcome not-run."""

    call_id: CallId
    reason: Reason


@dataclass(frozen=True, slots=True)
class StopCall:
    """Action: cancel a started call by closing its connection to the upstream."""

    call_id: CallId


AdmissionAction = StartCall | RefuseCall | StopCall


@dataclass(frozen=True, slots=True)
class CallShape:
    """Key of calls that are expected to cost about the same."""

    service: str
    method: str
    path: str


@dataclass(frozen=True, slots=True)
class Entry:
    """A call that passes through the filters; `arrived` is a time on the monotonic clock."""

    call: Call
    shape: CallShape
    arrived: Millis
    work_class: WorkClass = WorkClass.SHORT


FilterItem = Entry | RefuseCall
"""What a filter consumes and yields: an entry that goes on, or a refusal by an earlier filter."""
