"""A call next to its upstream, and what the end of its run means."""

import asyncio
from dataclasses import dataclass

from agatecross_adapters.header_names import HeaderNames
from agatecross_adapters.upstream_connection import UpstreamFailure
from agatecross_adapters.upstream_pool import UpstreamExchange
from agatecross_core.ids import Millis
from agatecross_core.quarantine.death_watch import RunEnd
from agatecross_core.relay.flow import is_served
from agatecross_core.relay.model import (
    Handover,
    RelayResponse,
    RelayResult,
    not_run_result,
    unknown_result,
)
from agatecross_core.relay.response_outcome import classify_response
from agatecross_core.states import Reason

from ..relay_messages import ResultReceiver

# The reason reported for each failure that occurs after the request was written.
FAILURE_REASONS = {
    UpstreamFailure.CONNECTION_LOST: Reason.CONNECTION_LOST,
    UpstreamFailure.MALFORMED: Reason.BAD_ANSWER,
    UpstreamFailure.TOO_LARGE: Reason.ANSWER_TOO_LARGE,
    UpstreamFailure.TOO_LATE: Reason.TIMEOUT,
}


@dataclass(slots=True)
class ExitCall:
    """A waiting or running call; `reply` is None once the call has been answered or cancelled."""

    handover: Handover
    deadline: Millis
    reply: ResultReceiver | None
    exchange: UpstreamExchange | None = None
    timer: asyncio.TimerHandle | None = None


def relay_result(done: RelayResponse | UpstreamFailure, names: HeaderNames) -> RelayResult:
    """Return the result of a run for the daemon that asked for it."""
    if isinstance(done, RelayResponse):
        return classify_response(done, names.stamp, names.not_run)
    if done is UpstreamFailure.NOT_CONNECTED:
        return not_run_result(Reason.CONNECT_FAILED)
    if done is UpstreamFailure.RESET_UNUSED:
        return not_run_result(Reason.QUEUE_FULL)
    return unknown_result(FAILURE_REASONS[done])


def run_end(call: ExitCall, done: RelayResponse | UpstreamFailure, result: RelayResult) -> RunEnd:
    """Return how a run ended, whoever still waits for it."""
    if isinstance(done, RelayResponse):
        return RunEnd.SERVED if is_served(result) else RunEnd.ANSWERED
    is_cancelled = call.exchange is not None and call.exchange.cancelled
    if done is UpstreamFailure.CONNECTION_LOST and not is_cancelled:
        return RunEnd.RESET
    return RunEnd.GIVEN_UP
