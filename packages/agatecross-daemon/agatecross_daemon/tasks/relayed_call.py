"""One call of a caller on its way through the flow: attempts out, results in, one answer."""

import asyncio
from collections.abc import Callable, Generator
from dataclasses import dataclass

from agatecross_adapters.caller_http import Exchange
from agatecross_core.ids import CallId, DaemonId, HandoverId, Millis, ServiceName
from agatecross_core.relay.model import (
    Attempt,
    Handover,
    RelayRequest,
    RelayResult,
    lost,
)
from agatecross_core.routing.host_table import HostRoute
from agatecross_core.routing.nearest import NearestBalancer
from agatecross_core.states import Reason

from ..mailbox import Sender, monotonic
from ..relay_messages import CancelAt, SendTo

Flow = Generator[Attempt, RelayResult, RelayResult]


@dataclass(frozen=True, slots=True)
class CallFacts:
    """What is fixed when a call is accepted; `deadline` is on the monotonic clock."""

    call_id: CallId
    route: HostRoute
    service: ServiceName
    request: RelayRequest
    deadline: Millis
    version: int


class RelayedCall:
    """Drives the flow of one call; every result is learnt by the balancer."""

    def __init__(
        self,
        facts: CallFacts,
        exchange: Exchange,
        flow: Flow,
        balancer: NearestBalancer,
        links: Sender[SendTo | CancelAt],
        new_id: Callable[[], HandoverId],
        on_end: "Callable[[RelayedCall, RelayResult], None]",
    ) -> None:
        self.facts = facts
        self.exchange = exchange
        self.flow = flow
        self.balancer = balancer
        self.links = links
        self.new_id = new_id
        self.on_end = on_end
        self.handover_id: HandoverId | None = None
        self.target: DaemonId | None = None
        self.instance = ""
        self.attempts = 0
        self.sent_at = Millis(0)
        self.timer: asyncio.TimerHandle | None = None
        self.ended = False

    def begin(self) -> None:
        """Start the first attempt and the timer of the deadline."""
        left = self.facts.deadline - monotonic()
        self.timer = asyncio.get_running_loop().call_later(max(0.0, left) / 1000, self._expire)
        self.exchange.on_gone = self._gone
        self._advance(None)

    def _advance(self, result: RelayResult | None) -> None:
        try:
            attempt = next(self.flow) if result is None else self.flow.send(result)
        except StopIteration as stop:
            self._end(stop.value)
            return
        self.attempts += 1
        now = monotonic()
        handover_id = self.new_id()
        self.handover_id, self.target = handover_id, attempt.daemon_id
        self.instance, self.sent_at = attempt.instance, now
        facts = self.facts
        handover = Handover(
            handover_id,
            facts.call_id,
            facts.route.name,
            facts.service,
            attempt.instance,
            facts.route.repeat,
            facts.route.rank,
            Millis(self.exchange.arrived + facts.route.objective - now),
            Millis(facts.deadline - now),
            facts.request,
        )
        self.links.put(SendTo(attempt.daemon_id, handover, self._result))

    def _result(self, handover_id: HandoverId, result: RelayResult) -> None:
        if self.ended or handover_id != self.handover_id:
            return
        self.handover_id = None
        self._learn(result)
        self._advance(result)

    def _learn(self, result: RelayResult) -> None:
        now = monotonic()
        if self.target is not None:
            took = Millis(now - self.sent_at)
            size = len(self.facts.request.body)
            self.balancer.ended(self.target, result, took, self.facts.route.name, size, now)

    def _expire(self) -> None:
        self._abandon(Reason.TIMEOUT)
        self._end(lost(Reason.TIMEOUT))

    def _gone(self) -> None:
        self._abandon(Reason.CANCELLED)
        self._end(lost(Reason.CANCELLED))

    def _abandon(self, reason: Reason) -> None:
        if self.handover_id is not None and self.target is not None:
            self.links.put(CancelAt(self.target, self.handover_id))
            self._learn(lost(reason))
            self.handover_id = None

    def _end(self, result: RelayResult) -> None:
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        self.flow.close()
        self.on_end(self, result)
