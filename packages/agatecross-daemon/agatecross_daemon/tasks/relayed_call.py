"""One call of a caller on its way through the flow: attempts out, results in, one answer."""

import asyncio
from collections.abc import Callable, Generator
from dataclasses import dataclass

from agatecross_adapters.caller_http import ClosedBy, Exchange
from agatecross_core.ids import CallId, DaemonId, HandoverId, InstanceId, Millis, ServiceName
from agatecross_core.members.directory import Endpoint
from agatecross_core.relay.flow import served, worse_kept
from agatecross_core.relay.hedge import hedge_delay
from agatecross_core.relay.model import Attempt, Handover, RelayRequest, RelayResult, lost
from agatecross_core.routing.host_table import HostRoute
from agatecross_core.routing.nearest import NearestBalancer
from agatecross_core.states import Reason

from ..mailbox import Sender, monotonic_ms
from ..relay_messages import CancelRemoteHandover, SendHandover

Flow = Generator[Attempt, RelayResult, RelayResult]
Hedge = Callable[[DaemonId], Endpoint | None]
"""Returns the upstream of a second attempt beside the daemon tried first, if it is allowed."""


@dataclass(frozen=True, slots=True)
class CallFacts:
    """What is fixed when a call is accepted; `deadline` is on the monotonic clock."""

    call_id: CallId
    route: HostRoute
    service: ServiceName
    request: RelayRequest
    deadline: Millis
    version: int


@dataclass(frozen=True, slots=True)
class Sent:
    """A handover whose result is awaited."""

    daemon_id: DaemonId
    instance: InstanceId
    at: Millis


class RelayedCall:
    """Drives the flow of one call; every result is learnt by the balancer."""

    def __init__(
        self,
        facts: CallFacts,
        exchange: Exchange,
        flow: Flow,
        hedge: Hedge | None,
        balancer: NearestBalancer,
        links: Sender[SendHandover | CancelRemoteHandover],
        new_id: Callable[[], HandoverId],
        on_end: "Callable[[RelayedCall, RelayResult], None]",
    ) -> None:
        self.facts = facts
        self.exchange = exchange
        self.flow = flow
        self.hedge = hedge
        self.balancer = balancer
        self.links = links
        self.new_id = new_id
        self.on_end = on_end
        self.open: dict[HandoverId, Sent] = {}
        self.last: Sent | None = None
        self.hedged = False
        self.held: RelayResult | None = None
        self.attempts = 0
        self.timer: asyncio.TimerHandle | None = None
        self.hedge_timer: asyncio.TimerHandle | None = None
        self.ended = False

    def begin(self) -> None:
        """Start the first attempt, the timer of the deadline and that of a second attempt."""
        loop = asyncio.get_running_loop()
        now = monotonic_ms()
        left = Millis(self.facts.deadline - now)
        self.timer = loop.call_later(max(0.0, left) / 1000, self._expire)
        self.exchange.on_gone = self._gone
        if self.hedge is not None:
            route = self.facts.route
            objective = Millis(self.exchange.arrived + route.objective - now)
            delay = hedge_delay(self.balancer.usual_time(route.name), objective, left)
            if delay is not None:
                self.hedge_timer = loop.call_later(delay / 1000, self._try_second)
        self._advance(None)

    def _advance(self, result: RelayResult | None) -> None:
        try:
            attempt = next(self.flow) if result is None else self.flow.send(result)
        except StopIteration as stop:
            self._end(stop.value)
            return
        self._send(attempt.daemon_id, attempt.instance)

    def _try_second(self) -> None:
        """Send a slow first attempt a second time, to another upstream."""
        first = self.last
        if self.hedge is None or first is None or self.attempts > 1 or not self.open:
            return
        endpoint = self.hedge(first.daemon_id)
        if endpoint is not None and endpoint.instance is not None:
            self.hedged = True
            self._send(endpoint.daemon_id, endpoint.instance)

    def _send(self, daemon_id: DaemonId, instance: InstanceId) -> None:
        self.attempts += 1
        now = monotonic_ms()
        handover_id = self.new_id()
        self.last = self.open[handover_id] = Sent(daemon_id, instance, now)
        facts = self.facts
        handover = Handover(
            handover_id,
            facts.call_id,
            facts.route.name,
            facts.service,
            instance,
            facts.route.repeat,
            facts.route.rank,
            Millis(self.exchange.arrived + facts.route.objective - now),
            Millis(facts.deadline - now),
            facts.request,
        )
        self.links.put(SendHandover(daemon_id, handover, self._result))

    def _result(self, handover_id: HandoverId, result: RelayResult) -> None:
        sent = self.open.pop(handover_id, None)
        if sent is None:
            return
        self._learn(sent, result)
        if not self.hedged:
            self._advance(result)
            return
        # The flow allowed one attempt; with the second one, the attempts of the route are used up.
        self.held = worse_kept(self.held, result)
        if served(result) or not self.open:
            self._end(self.held)

    def _learn(self, sent: Sent, result: RelayResult) -> None:
        now = monotonic_ms()
        took = Millis(now - sent.at)
        size = len(self.facts.request.body)
        self.balancer.ended(sent.daemon_id, result, took, self.facts.route.name, size, now)

    def _expire(self) -> None:
        self._end(lost(Reason.TIMEOUT))

    def _gone(self, closed_by: ClosedBy) -> None:
        cut = closed_by is ClosedBy.DAEMON
        self._end(lost(Reason.CUT if cut else Reason.CANCELLED))

    def _end(self, result: RelayResult) -> None:
        if self.ended:
            return
        self.ended = True
        for timer in (self.timer, self.hedge_timer):
            if timer is not None:
                timer.cancel()
        # What is still out is no longer waited for: the time is up, the caller left, or another
        # attempt was served.
        reason = result.reason if result.reason is Reason.TIMEOUT else Reason.CANCELLED
        for handover_id, sent in self.open.items():
            self.links.put(CancelRemoteHandover(sent.daemon_id, handover_id))
            self._learn(sent, lost(reason))
        self.open.clear()
        self.flow.close()
        self.on_end(self, result)
