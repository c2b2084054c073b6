"""Drives the attempts of a call; belongs to the call task."""

from agatecross_adapters.call_headers import decode_result, encode_call
from agatecross_adapters.protocols import HttpClient
from agatecross_core.calls.flow import Attempt, CallFlow
from agatecross_core.calls.model import Call, CallResult, not_run, unknown
from agatecross_core.errors import ConnectFailedError, ConnectionLostError, ExchangeTimeoutError
from agatecross_core.ids import Address, DaemonId, Millis
from agatecross_core.routing.router import AttemptEnded, Balancer
from agatecross_core.states import Reason

from ..mailbox import Sender, monotonic, new_ask
from .upstream_task import CallAsk


class CallDriver:
    """Sends attempts to the upstream next to this daemon or to the daemons next to others."""

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
        """Carry out the attempts of a flow and return its result."""
        try:
            attempt = next(flow)
            while True:
                attempt = flow.send(await self.attempt(attempt))
        except StopIteration as stop:
            result: CallResult = stop.value
            return result

    async def attempt(self, attempt: Attempt) -> CallResult:
        """Carry out one attempt and report its end to the balancer."""
        target = attempt.target.member
        started = monotonic()
        self.balancer.started(target.daemon_id, started)
        result = unknown(Reason.CONNECTION_LOST)
        try:
            if target.daemon_id == self.daemon_id:
                result = await self._run_here(attempt.call)
            else:
                result = await self._send(target.peer_address, attempt.call)
            return result
        finally:
            now = monotonic()
            ended = AttemptEnded(target.daemon_id, Millis(now - started), result.outcome)
            self.balancer.ended(ended, now)

    async def _run_here(self, call: Call) -> CallResult:
        ask: CallAsk = new_ask(call)
        self.upstream.put(ask)
        return await ask.reply

    async def _send(self, peer: Address, call: Call) -> CallResult:
        now = monotonic()
        left = Millis(max(1.0, call.deadline - now))
        try:
            response = await self.client.send(peer, encode_call(call, now), left)
        except ConnectFailedError:
            return not_run(Reason.CONNECT_FAILED)
        except ConnectionLostError:
            return unknown(Reason.CONNECTION_LOST)
        except ExchangeTimeoutError:
            return unknown(Reason.TIMEOUT)
        return decode_result(response)
