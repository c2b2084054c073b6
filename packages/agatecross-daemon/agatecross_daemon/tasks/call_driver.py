"""Runs the attempts of a call; belongs to the call task."""

import asyncio

from agatecross_adapters.call_headers import decode_load, decode_result, encode_call
from agatecross_adapters.protocols import HttpClient
from agatecross_core.calls.flow import (
    Attempt,
    CallFlow,
    FlowAction,
    FlowEvent,
    HedgedAttempt,
    Progress,
)
from agatecross_core.calls.model import Call, CallResult, failed_exchange_result, unknown_result
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, DaemonId, Millis
from agatecross_core.routing.model import ReportedLoad
from agatecross_core.routing.router import AttemptEnded, Balancer
from agatecross_core.states import Reason

from ..mailbox import Sender, monotonic_ms, new_ask
from .upstream_task import CallAsk

SERVER_ERROR = 500


class CallDriver:
    """Sends attempts to the upstream next to this daemon or to the daemons of other upstreams."""

    def __init__(
        self,
        daemon_id: DaemonId,
        balancer: Balancer,
        client: HttpClient,
        upstream: Sender[CallAsk],
    ) -> None:
        self.daemon_id = daemon_id
        self.balancer = balancer
        self.client = client
        self.upstream = upstream

    async def drive(self, flow: CallFlow) -> CallResult:
        """Carry out the actions of a flow and return its result."""
        running: set[asyncio.Task[CallResult]] = set()
        try:
            action = next(flow)
            while True:
                action = flow.send(await self._run_action(action, running))
        except StopIteration as stop:
            result: CallResult = stop.value
            return result
        finally:
            # Cancelling an attempt closes its connection, so its target stops working on it.
            for task in running:
                task.cancel()

    async def run_attempt(self, attempt: Attempt | HedgedAttempt) -> CallResult:
        """Carry out one attempt and report its end to the balancer."""
        target = attempt.target.member
        started = monotonic_ms()
        self.balancer.record_start(target.daemon_id, started)
        result, load = unknown_result(Reason.CONNECTION_LOST), None
        cancelled = True
        try:
            if target.daemon_id == self.daemon_id:
                result = await self._run_locally(attempt.call)
            else:
                result, load = await self._send_to_peer(target.peer_address, attempt.call)
            cancelled = False
            return result
        finally:
            now = monotonic_ms()
            took = Millis(now - started)
            self.balancer.record_end(
                _new_attempt_ended(target.daemon_id, took, result, load, cancelled), now
            )

    async def _run_action(
        self, action: FlowAction, running: set[asyncio.Task[CallResult]]
    ) -> FlowEvent:
        match action:
            case Attempt(hedge_after=None):
                return await self.run_attempt(action)
            case Attempt(hedge_after=delay):
                running.add(asyncio.ensure_future(self.run_attempt(action)))
                assert delay is not None
                done, _ = await asyncio.wait(running, timeout=delay / 1000)
                if not done:
                    return Progress.HEDGE_DELAY_ELAPSED
            case HedgedAttempt():
                running.add(asyncio.ensure_future(self.run_attempt(action)))
        done, _ = await asyncio.wait(running, return_when=asyncio.FIRST_COMPLETED)
        task = done.pop()
        running.discard(task)
        return task.result()

    async def _run_locally(self, call: Call) -> CallResult:
        ask: CallAsk = new_ask(call)
        self.upstream.put(ask)
        return await ask.reply

    async def _send_to_peer(
        self, peer: Address, call: Call
    ) -> tuple[CallResult, ReportedLoad | None]:
        now = monotonic_ms()
        left = Millis(max(1.0, call.deadline - now))
        try:
            response = await self.client.send(peer, encode_call(call, now), left)
        except ExchangeError as error:
            return failed_exchange_result(error), None
        return decode_result(response), decode_load(response)


def _new_attempt_ended(
    daemon_id: DaemonId,
    took: Millis,
    result: CallResult,
    load: ReportedLoad | None,
    cancelled: bool,
) -> AttemptEnded:
    failed = result.response is not None and result.response.status >= SERVER_ERROR
    reason = None if cancelled else result.reason
    return AttemptEnded(daemon_id, took, result.outcome, reason, failed, cancelled, load)
