"""Messages of the queue next to the upstream."""

from dataclasses import dataclass

from ..calls.model import Call
from ..ids import CallId
from ..states import Reason


@dataclass(frozen=True, slots=True)
class StartCall:
    """Action: send the call to the upstream now."""

    call: Call


@dataclass(frozen=True, slots=True)
class RefuseCall:
    """Action: answer the call as not run."""

    call_id: CallId
    reason: Reason


AdmissionAction = StartCall | RefuseCall
