"""Owns the callers' listener: finds the route of each request and relays it."""

import itertools
import random
from collections.abc import Callable, Mapping

from agatecross_adapters.caller_http import Exchange
from agatecross_adapters.caller_listener import CallerListener
from agatecross_adapters.header_names import HeaderNames
from agatecross_core.ids import Address, CallId, DaemonId, HandoverId, Millis, ServiceName
from agatecross_core.members.directory import Endpoint
from agatecross_core.quarantine.model import relay_fingerprint
from agatecross_core.quarantine.strikes import StrikeTable
from agatecross_core.relay.budget import FleetBudget
from agatecross_core.relay.drain import DrainPlan
from agatecross_core.relay.flow import SERVER_ERROR, RelayPolicy, relay
from agatecross_core.relay.model import RelayRequest, RelayResponse, RelayResult, Repeat
from agatecross_core.routing.host_table import HostRoute, HostTable, WeightedSplit
from agatecross_core.routing.nearest import NearestBalancer
from agatecross_core.states import Outcome, Reason

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import (
    CancelRemoteHandover,
    DrainPlanned,
    FleetChanged,
    SendHandover,
    StrikesReported,
    TableInForce,
)
from ..relay_metrics import RelayMetrics
from .relayed_call import CallFacts, RelayedCall

EntryMessage = TableInForce | FleetChanged | StrikesReported | DrainPlanned
HANDOVER_COUNTER_BITS = 40
# Used when a caller states no time.
LONGEST_WAIT = Millis(60_000)
# A refused caller returns after a random time, so that a crest does not come back as one.
RETRY_AFTER_MIN = 0.03
RETRY_AFTER_MAX = 0.12
NOT_FOUND = 404
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class EntryTask:
    """Answers each request of a caller with the answer of an upstream, or says why not."""

    def __init__(
        self,
        mailbox: DirectMailbox[EntryMessage],
        service: ServiceName,
        address: Address,
        names: HeaderNames,
        balancer: NearestBalancer,
        budget_of: Callable[[], FleetBudget],
        links: Sender[SendHandover | CancelRemoteHandover],
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
    ) -> None:
        mailbox.set_handler(self._handle)
        self.caller_service = service.encode("latin-1")
        self.address = address
        self.names = names
        self.balancer = balancer
        self.budget_of = budget_of
        self.links = links
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.listener = CallerListener(self._received)
        self.table: HostTable | None = None
        self.split = WeightedSplit()
        self.fleet: Mapping[ServiceName, tuple[Endpoint, ...]] = {}
        self.daemons = 1
        self.budgets: dict[ServiceName, FleetBudget] = {}
        self.strikes = StrikeTable()
        self.drain: DrainPlan | None = None
        self.own_fields = frozenset(
            (names.caller_service, names.time_left, names.expected_instance)
        )
        # Random high bits keep the ids of restarted daemons and of other daemons apart.
        prefix = rng.getrandbits(62 - HANDOVER_COUNTER_BITS) << HANDOVER_COUNTER_BITS
        self.ids = itertools.count(prefix)

    async def start(self) -> None:
        """Start to accept callers."""
        self.address = await self.listener.listen(self.address)

    def budgets_changed(self, budget_of: Callable[[], FleetBudget]) -> None:
        """Start every service's budget again with other settings."""
        self.budget_of = budget_of
        self.budgets.clear()

    def _handle(self, message: EntryMessage) -> None:
        match message:
            case TableInForce(table):
                self.table = table
                self.split.retain(table)
                self.listener.limits = table.limits
            case DrainPlanned(plan):
                self.drain = plan
            case FleetChanged(by_service, daemons):
                self.fleet, self.daemons = by_service, daemons
            case StrikesReported(strikes):
                if self.strikes.strike(strikes, monotonic_ms()):
                    self.log.write_change("strikes_learnt", fingerprints=len(strikes))

    def _received(self, exchange: Exchange) -> None:
        table = self.table
        if table is None:
            self._refuse(exchange, UNAVAILABLE, Reason.NO_CONFIGURATION, 0)
            return
        target = exchange.request.target.decode("latin-1")
        route = table.find(exchange.host, target)
        if route is None:
            self._refuse(exchange, NOT_FOUND, Reason.NO_ROUTE, table.version)
            return
        facts = self._facts(exchange, route, table.version)
        if self.drain is not None and not self.drain.admits(monotonic_ms(), facts.deadline):
            self._refuse(exchange, UNAVAILABLE, Reason.LEAVING, table.version)
            return
        exchange.deadline = facts.deadline
        service = facts.service
        if self.strikes.records and self._quarantined(facts):
            self._refuse(exchange, UNAVAILABLE, Reason.QUARANTINED, table.version)
            return
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = self.budget_of()
        budget.first_arrival()

        def choose(tried: tuple[DaemonId, ...]) -> Endpoint | None:
            rows = self.fleet.get(service, ())
            endpoint = self.balancer.choose(rows, tried, route.name, monotonic_ms())
            if endpoint is not None:
                self.balancer.started(endpoint)
            return endpoint

        flow = relay(
            RelayPolicy(route.repeat, route.attempts),
            choose,
            lambda: Millis(self._last_attempt(facts) - monotonic_ms()),
            lambda: budget.take(self.daemons, monotonic_ms()),
        )

        def hedge(tried: DaemonId) -> Endpoint | None:
            rows = self.fleet.get(service, ())
            now = monotonic_ms()
            endpoint = self.balancer.choose(rows, (tried,), route.name, now)
            if endpoint is None or not self.balancer.has_spare(endpoint, now):
                return None
            if not budget.take(self.daemons, now):
                return None
            self.balancer.started(endpoint)
            return endpoint

        hedged = route.repeat is Repeat.SAFE and route.attempts > 1
        call = RelayedCall(
            facts,
            exchange,
            flow,
            hedge if hedged else None,
            self.balancer,
            self.links,
            self._new_id,
            self._ended,
        )
        call.begin()

    def _facts(self, exchange: Exchange, route: HostRoute, version: int) -> CallFacts:
        stated, call_id = LONGEST_WAIT, b""
        rows: list[tuple[bytes, bytes]] = []
        names = self.names
        for row in exchange.request.headers:
            name, value = row
            if name == names.time_left and value.isdigit():
                stated = Millis(int(value))
            if name == names.call_id:
                call_id = value
            if name not in self.own_fields:
                rows.append(row)
        rows.append((names.caller_service, self.caller_service))
        request = exchange.request
        return CallFacts(
            CallId(call_id.decode("latin-1")),
            route,
            self.split.pick(route),
            RelayRequest(request.method, request.target, tuple(rows), request.body),
            Millis(exchange.arrived + min(stated, route.timeout)),
            version,
        )

    def _last_attempt(self, facts: CallFacts) -> Millis:
        """Return until when an attempt may start; what starts at the end of a drain is cut."""
        return facts.deadline if self.drain is None else min(facts.deadline, self.drain.end)

    def _quarantined(self, facts: CallFacts) -> bool:
        fingerprint = relay_fingerprint(facts.service, facts.request)
        return self.strikes.quarantined(fingerprint, monotonic_ms())

    def _new_id(self) -> HandoverId:
        return HandoverId(next(self.ids))

    def _ended(self, call: RelayedCall, result: RelayResult) -> None:
        response = self._response(result)
        took = monotonic_ms() - call.exchange.arrived
        route = call.facts.route
        self.metrics.count_call(call.facts.service, result, took)
        failed = (
            result.outcome is not Outcome.RAN
            or call.attempts > 1
            or response.status >= SERVER_ERROR
        )
        if failed or self.log.should_write_served_call():
            write = self.log.write_failed_call if failed else self.log.write_served_call
            write(
                "call",
                call_id=call.facts.call_id,
                route=route.name,
                rank=route.rank,
                service=call.facts.service,
                version=call.facts.version,
                upstream=call.last.daemon_id if call.last else "",
                instance=call.last.instance if call.last else "",
                attempts=call.attempts,
                hedged=call.hedged,
                outcome=result.outcome.value,
                reason=result.reason.value if result.reason else "",
                target=call.facts.request.target.decode("latin-1"),
                status=response.status,
                took_ms=int(took),
            )
        call.exchange.respond(response)

    def _refuse(self, exchange: Exchange, status: int, reason: Reason, version: int) -> None:
        ids = [value for name, value in exchange.request.headers if name == self.names.call_id]
        self.metrics.count_refusal(reason)
        self.log.write_failed_call(
            "call_refused",
            call_id=ids[0].decode("latin-1") if ids else "",
            host=exchange.host,
            reason=reason.value,
            version=version,
            status=status,
        )
        headers = self._retry_after() if status == UNAVAILABLE else ()
        exchange.respond(RelayResponse(status, headers, b""))

    def _response(self, result: RelayResult) -> RelayResponse:
        if result.response is not None:
            return result.response
        if result.outcome is Outcome.NOT_RUN:
            return RelayResponse(UNAVAILABLE, self._retry_after(), b"")
        if result.reason is Reason.TIMEOUT:
            return RelayResponse(GATEWAY_TIMEOUT, (), b"")
        return RelayResponse(BAD_GATEWAY, (), b"")

    def _retry_after(self) -> tuple[tuple[bytes, bytes], ...]:
        seconds = self.rng.uniform(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
        return ((b"retry-after", b"%.3f" % seconds),)
