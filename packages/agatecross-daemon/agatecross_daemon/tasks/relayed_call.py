"""A call in progress: sends its attempts, collects their results and answers the caller once."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from agatecross_adapters.caller_exchange import ClosedBy, Exchange
from agatecross_adapters.header_names import HeaderNames
from agatecross_core.customers.model import Customer
from agatecross_core.ids import (
    NO_CUSTOMER,
    CallId,
    CustomerName,
    DaemonId,
    HandoverId,
    InstanceId,
    Millis,
    ServiceName,
)
from agatecross_core.members.directory import Endpoint
from agatecross_core.relay.flow import is_served, reported_result
from agatecross_core.relay.hedge import hedge_delay
from agatecross_core.relay.model import Handover, RelayRequest, RelayResult, unknown_result
from agatecross_core.relay.response_notices import read_notices
from agatecross_core.relay.shedding import Flow
from agatecross_core.routing.host_table import HostRoute
from agatecross_core.routing.lowest_cost import LowestCostBalancer
from agatecross_core.states import Outcome, Reason

from ..mailbox import Sender, monotonic_ms
from ..relay_messages import CancelRemoteHandover, SendHandover

HedgeChooser = Callable[[DaemonId], Endpoint | None]
"""Returns the endpoint for a hedged attempt besides the daemon tried first, or None."""


@dataclass(frozen=True, slots=True)
class CallContext:
    """Fixed properties of an accepted call; `deadline` is on the monotonic clock.

    `stated_time` is the time limit that the caller stated, which the route's timeout may cut.
    `rank` orders calls by importance, 0 first; `customer` is None for a call without a key.
    """

    call_id: CallId
    route: HostRoute
    service: ServiceName
    request: RelayRequest
    deadline: Millis
    stated_time: Millis
    version: int
    rank: int
    customer: Customer | None = None

    @property
    def customer_name(self) -> CustomerName:
        """Return the name of the customer, empty without one."""
        return NO_CUSTOMER if self.customer is None else self.customer.name


@dataclass(frozen=True, slots=True)
class SentAttempt:
    """A handover whose result is awaited."""

    daemon_id: DaemonId
    instance: InstanceId
    sent_at: Millis


class RelayedCall:
    """Drives the flow of one call and reports every result to the balancer."""

    def __init__(
        self,
        context: CallContext,
        exchange: Exchange,
        flow: Flow,
        choose_hedge: HedgeChooser | None,
        balancer: LowestCostBalancer,
        peers: Sender[SendHandover | CancelRemoteHandover],
        new_handover_id: Callable[[], HandoverId],
        names: HeaderNames,
        on_end: "Callable[[RelayedCall, RelayResult], None]",
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.flow = flow
        self.choose_hedge = choose_hedge
        self.balancer = balancer
        self.peers = peers
        self.new_handover_id = new_handover_id
        self.names = names
        self.on_end = on_end
        self.in_flight: dict[HandoverId, SentAttempt] = {}
        self.last_sent: SentAttempt | None = None
        self.hedged = False
        self.kept_result: RelayResult | None = None
        self.attempts = 0
        # Attempts that arrived at an upstream or may have.
        self.arrivals = 0
        self.deadline_timer: asyncio.TimerHandle | None = None
        self.hedge_timer: asyncio.TimerHandle | None = None
        self.ended = False

    def begin(self) -> None:
        """Send the first attempt; start the timers of the deadline and of the hedged attempt."""
        loop = asyncio.get_running_loop()
        now = monotonic_ms()
        left = Millis(self.context.deadline - now)
        self.deadline_timer = loop.call_later(max(0.0, left) / 1000, self._on_deadline)
        self.exchange.on_abandoned = self._on_connection_closed
        if self.choose_hedge is not None:
            route = self.context.route
            objective = Millis(self.exchange.arrived + route.objective - now)
            delay = hedge_delay(self.balancer.mean_time_of(route.name), objective, left)
            if delay is not None:
                self.hedge_timer = loop.call_later(delay / 1000, self._send_hedge)
        self._advance_flow(None)

    def _advance_flow(self, result: RelayResult | None) -> None:
        try:
            attempt = next(self.flow) if result is None else self.flow.send(result)
        except StopIteration as stop:
            self._end(stop.value)
            return
        self._send_attempt(attempt.daemon_id, attempt.instance)

    def _send_hedge(self) -> None:
        """Send a second attempt to another upstream if the first one is still in flight."""
        first = self.last_sent
        if self.choose_hedge is None or first is None or self.attempts > 1 or not self.in_flight:
            return
        endpoint = self.choose_hedge(first.daemon_id)
        if endpoint is not None and endpoint.instance is not None:
            self.hedged = True
            self._send_attempt(endpoint.daemon_id, endpoint.instance)

    def _send_attempt(self, daemon_id: DaemonId, instance: InstanceId) -> None:
        self.attempts += 1
        now = monotonic_ms()
        handover_id = self.new_handover_id()
        self.last_sent = self.in_flight[handover_id] = SentAttempt(daemon_id, instance, now)
        context = self.context
        handover = Handover(
            handover_id,
            context.call_id,
            context.route.name,
            context.service,
            instance,
            context.route.repeat,
            context.rank,
            Millis(self.exchange.arrived + context.route.objective - now),
            Millis(context.deadline - now),
            context.request,
            self.balancer.limit_of(daemon_id),
            context.customer_name,
        )
        self.peers.put(SendHandover(daemon_id, handover, self._handle_result))

    def _handle_result(self, handover_id: HandoverId, result: RelayResult) -> None:
        sent = self.in_flight.pop(handover_id, None)
        if sent is None:
            return
        self._report_to_balancer(sent, result)
        if not self.hedged:
            self._advance_flow(result)
            return
        # The flow allowed the first attempt; the hedged one uses up the attempts of the route.
        self.kept_result = reported_result(self.kept_result, result)
        if is_served(result) or not self.in_flight:
            self._end(self.kept_result)

    def _report_to_balancer(self, sent: SentAttempt, result: RelayResult) -> None:
        self.arrivals += result.outcome is not Outcome.NOT_RUN
        now = monotonic_ms()
        took = Millis(now - sent.sent_at)
        size = len(self.context.request.body)
        self.balancer.record_result(
            sent.daemon_id, result, took, self.context.route.name, size, now
        )
        if result.response is not None:
            notices = read_notices(result.response.headers, self.names.limit, self.names.leaving)
            self.balancer.record_limit(sent.daemon_id, notices.limit)

    def _on_deadline(self) -> None:
        self._end(unknown_result(Reason.TIMEOUT))

    def _on_connection_closed(self, closed_by: ClosedBy) -> None:
        cut = closed_by is ClosedBy.DAEMON
        self._end(unknown_result(Reason.CUT if cut else Reason.CANCELLED))

    def _end(self, result: RelayResult) -> None:
        if self.ended:
            return
        self.ended = True
        for timer in (self.deadline_timer, self.hedge_timer):
            if timer is not None:
                timer.cancel()
        # Cancels the attempts still in flight: the deadline passed, the caller's connection closed,
        # or another attempt was served.
        reason = result.reason if result.reason is Reason.TIMEOUT else Reason.CANCELLED
        for handover_id, sent in self.in_flight.items():
            self.peers.put(CancelRemoteHandover(sent.daemon_id, handover_id))
            self._report_to_balancer(sent, unknown_result(reason))
        self.in_flight.clear()
        self.flow.close()
        self.on_end(self, result)
