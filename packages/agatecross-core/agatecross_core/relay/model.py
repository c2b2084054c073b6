"""A relayed request, its handover to the daemon next to an upstream, and its result."""

import math
from dataclasses import dataclass
from enum import Enum

from ..ids import (
    NO_CUSTOMER,
    ZERO_MS,
    CallId,
    CustomerName,
    DaemonId,
    HandoverId,
    InstanceId,
    Millis,
    RouteName,
    ServiceName,
)
from ..states import Outcome, Reason

HeaderRows = tuple[tuple[bytes, bytes], ...]


class Repeat(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"
    ONCE = "once"


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """A complete request; header names are in lower case, hop-by-hop headers are removed."""

    method: bytes
    target: bytes
    headers: HeaderRows
    body: bytes


@dataclass(frozen=True, slots=True)
class RelayResponse:
    """A complete response of an upstream without hop-by-hop headers."""

    status: int
    headers: HeaderRows
    body: bytes


@dataclass(frozen=True, slots=True)
class Handover:
    """One attempt at one upstream.

    `objective_time_left` and `time_left` are the milliseconds that were left to the latency
    objective and to the deadline when it was sent. `upstream_limit` is how many calls the upstream
    takes per second, by the last answer that the sender got of it; infinite without a limit.
    `customer` is the one for which the call is made, empty without one.
    """

    handover_id: HandoverId
    call_id: CallId
    route: RouteName
    service: ServiceName
    instance: InstanceId
    repeat: Repeat
    rank: int
    objective_time_left: Millis
    time_left: Millis
    request: RelayRequest
    upstream_limit: float = math.inf
    customer: CustomerName = NO_CUSTOMER


@dataclass(frozen=True, slots=True)
class RelayResult:
    """Result of a handover or of the whole call.

    `reached_upstream` tells whether the request was sent to the upstream; `load` is the number of
    calls that run at it or wait for it, `slots` its capacity, `cost` the mean time of the calls of
    the route there; each is 0 when unknown.
    """

    outcome: Outcome
    reason: Reason | None = None
    response: RelayResponse | None = None
    reached_upstream: bool = False
    load: int = 0
    slots: int = 0
    cost: Millis = ZERO_MS


@dataclass(frozen=True, slots=True)
class Attempt:
    """Action of the flow: hand over the call to this upstream."""

    daemon_id: DaemonId
    instance: InstanceId
    number: int


def not_run_result(
    reason: Reason, load: int = 0, slots: int = 0, reached_upstream: bool = False
) -> RelayResult:
    """Return the result of a call that did not run and will not run."""
    return RelayResult(Outcome.NOT_RUN, reason, None, reached_upstream, load, slots)


def unknown_result(reason: Reason) -> RelayResult:
    """Return the result of a call that may have run."""
    return RelayResult(Outcome.UNKNOWN, reason, None, True)
