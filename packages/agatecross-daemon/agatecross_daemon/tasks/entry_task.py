"""Owns the listener for callers: finds the route of each request and relays it."""

import math
import random
from collections.abc import Callable, Mapping

from agatecross_adapters.call_key import name_customer, read_key
from agatecross_adapters.caller_exchange import Exchange
from agatecross_adapters.caller_listener import CallerListener
from agatecross_adapters.connection_guard import ConnectionGuard
from agatecross_adapters.header_names import HeaderNames
from agatecross_core.customers.access import decide_access
from agatecross_core.customers.model import Customer, call_rank
from agatecross_core.ids import (
    NO_CUSTOMER,
    Address,
    CallId,
    CustomerName,
    DaemonId,
    HandoverId,
    Millis,
    ServiceName,
)
from agatecross_core.members.directory import Endpoint
from agatecross_core.pauses import PauseClock
from agatecross_core.quarantine.model import relay_fingerprint
from agatecross_core.quarantine.report import CrashReport
from agatecross_core.quarantine.suspects import SuspectTable, Verdict
from agatecross_core.quarantine.trial import select_trial_endpoint
from agatecross_core.relay.budget import FleetRetryBudget
from agatecross_core.relay.drain import DrainPlan
from agatecross_core.relay.flow import SERVER_ERROR, RelayPolicy, relay
from agatecross_core.relay.ledger import new_handover_ids
from agatecross_core.relay.model import (
    HeaderRows,
    RelayRequest,
    RelayResponse,
    RelayResult,
    Repeat,
)
from agatecross_core.relay.shedding import SheddingServices, observe_results
from agatecross_core.routing.host_table import HostRoute, HostTable, WeightedSplit
from agatecross_core.routing.lowest_cost import LowestCostBalancer
from agatecross_core.states import Outcome, Reason

from ..decision_log import DecisionLog
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, boottime_ms, monotonic_ms
from ..relay_messages import (
    CancelRemoteHandover,
    CrashesReported,
    DrainPlanned,
    FleetChanged,
    SendHandover,
    TableInForce,
)
from ..relay_metrics import RelayMetrics
from .limits_task import CustomerLimiter
from .relayed_call import CallContext, RelayedCall

EntryMessage = TableInForce | FleetChanged | CrashesReported | DrainPlanned
# Applies to requests that do not state the time left until their deadline.
DEFAULT_CALL_TIMEOUT = Millis(60_000)
# Refused callers retry after a random time, so that their retries do not form another load peak.
RETRY_AFTER_MIN_SECONDS = 0.03
RETRY_AFTER_MAX_SECONDS = 0.12
UNAUTHORIZED = 401
NOT_FOUND = 404
TOO_MANY_REQUESTS = 429
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


class EntryTask:
    """Answers each request of a caller with the response of an upstream or with an error status."""

    def __init__(
        self,
        mailbox: DirectMailbox[EntryMessage],
        service: ServiceName,
        address: Address,
        names: HeaderNames,
        balancer: LowestCostBalancer,
        new_budget: Callable[[], FleetRetryBudget],
        peers: Sender[SendHandover | CancelRemoteHandover],
        limits: CustomerLimiter,
        pauses: PauseClock,
        rng: random.Random,
        log: DecisionLog,
        metrics: RelayMetrics,
        guard: ConnectionGuard | None = None,
    ) -> None:
        mailbox.set_handler(self._handle)
        self.pauses = pauses
        self.caller_service = service.encode("latin-1")
        self.address = address
        self.names = names
        self.balancer = balancer
        self.new_budget = new_budget
        self.peers = peers
        self.limits = limits
        self.rng = rng
        self.log = log
        self.metrics = metrics
        self.listener = CallerListener(self._handle_request, guard)
        self.table: HostTable | None = None
        self.traffic_split = WeightedSplit()
        self.endpoints_by_service: Mapping[ServiceName, tuple[Endpoint, ...]] = {}
        self.daemon_count = 1
        self.budgets: dict[ServiceName, FleetRetryBudget] = {}
        self.suspects = SuspectTable()
        self.shedding = SheddingServices()
        self.drain_plan: DrainPlan | None = None
        self.stripped_headers = frozenset(
            (names.caller_service, names.time_left, names.expected_instance)
        )
        self.handover_ids = new_handover_ids(rng)

    async def start(self) -> None:
        """Start accepting callers."""
        self.address = await self.listener.listen(self.address)

    def reset_budgets(self, new_budget: Callable[[], FleetRetryBudget]) -> None:
        """Replace the retry budget of every service by one that `new_budget` creates."""
        self.new_budget = new_budget
        self.budgets.clear()

    def _handle(self, message: EntryMessage) -> None:
        match message:
            case TableInForce(table):
                self.table = table
                self.traffic_split.retain(table)
                self.listener.limits = table.limits
            case DrainPlanned(plan):
                self.drain_plan = plan
            case FleetChanged(by_service, daemon_count):
                self.endpoints_by_service, self.daemon_count = by_service, daemon_count
            case CrashesReported(report):
                if self.suspects.add(report, monotonic_ms()):
                    self._log_report(report)

    def _handle_request(self, exchange: Exchange) -> None:
        table = self.table
        if table is None:
            self._refuse(exchange, UNAVAILABLE, Reason.NO_CONFIGURATION, 0)
            return
        target = exchange.request.target.decode("latin-1")
        route = table.find(exchange.host, target)
        if route is None:
            self._refuse(exchange, NOT_FOUND, Reason.NO_ROUTE, table.version)
            return
        key = read_key(exchange.request.headers, self.names)
        access = decide_access(table.customers, route.allow_anonymous, key)
        if access.refusal is not None:
            self._refuse(exchange, UNAUTHORIZED, access.refusal, table.version)
            return
        # The caller has waited while this daemon was paused.
        exchange.arrived = Millis(exchange.arrived - self.pauses.waited(boottime_ms()))
        context = self._new_call_context(exchange, route, table, access.customer)
        if context.deadline <= monotonic_ms():
            self._refuse(exchange, UNAVAILABLE, Reason.DEADLINE, table.version)
            return
        if self.drain_plan is not None and not self.drain_plan.admits(
            monotonic_ms(), context.deadline
        ):
            self._refuse(exchange, UNAVAILABLE, Reason.LEAVING, table.version)
            return
        exchange.deadline = context.deadline
        service = context.service
        if self._judge(context) is Verdict.REFUSED:
            self._refuse(exchange, UNAVAILABLE, Reason.QUARANTINED, table.version)
            return
        customer = access.customer
        if customer is not None and (wait := self.limits.admit(customer)) is not None:
            self._refuse_beyond_limit(exchange, customer, wait, table.version)
            return
        budget = self.budgets.get(service)
        if budget is None:
            budget = self.budgets[service] = self.new_budget()
        budget.add_first_arrival()
        self.balancer.record_call(route.name)

        def record_attempt(endpoint: Endpoint) -> None:
            self.balancer.record_start(endpoint, route.name)
            self.metrics.count_handover(service, self.balancer.locality_of(endpoint))

        def choose(tried: tuple[DaemonId, ...]) -> Endpoint | None:
            endpoints = self._allowed_endpoints(context)
            now = monotonic_ms()
            left = Millis(exchange.arrived + route.objective - now)
            endpoint = self.balancer.choose(endpoints, tried, route.name, left, now)
            if endpoint is not None:
                record_attempt(endpoint)
            return endpoint

        def may_repeat() -> bool:
            now = monotonic_ms()
            return not self.shedding.includes(service, now) and budget.take(self.daemon_count, now)

        flow = relay(
            RelayPolicy(route.repeat, route.attempts, self.balancer.least_time_of(route.name)),
            choose,
            lambda: Millis(self._latest_attempt_start(context) - monotonic_ms()),
            may_repeat,
        )
        flow = observe_results(
            flow, lambda result: self.shedding.record(service, result, monotonic_ms())
        )

        def choose_hedge(tried: DaemonId) -> Endpoint | None:
            endpoints = self.endpoints_by_service.get(service, ())
            now = monotonic_ms()
            if self._judge(context) is not Verdict.FREE:
                return None
            left = Millis(exchange.arrived + route.objective - now)
            endpoint = self.balancer.choose(endpoints, (tried,), route.name, left, now)
            if endpoint is None or not self.balancer.has_spare_capacity(endpoint, now):
                return None
            if not budget.take(self.daemon_count, now):
                return None
            record_attempt(endpoint)
            return endpoint

        hedged = route.repeat is Repeat.SAFE and route.attempts > 1
        call = RelayedCall(
            context,
            exchange,
            flow,
            choose_hedge if hedged else None,
            self.balancer,
            self.peers,
            self._new_handover_id,
            self.names,
            self._on_call_ended,
        )
        call.begin()

    def _new_call_context(
        self, exchange: Exchange, route: HostRoute, table: HostTable, customer: Customer | None
    ) -> CallContext:
        time_left, call_id = DEFAULT_CALL_TIMEOUT, b""
        headers: list[tuple[bytes, bytes]] = []
        names = self.names
        for header in exchange.request.headers:
            name, value = header
            if name == names.time_left and value.isdigit():
                time_left = Millis(int(value))
            if name == names.call_id:
                call_id = value
            if name not in self.stripped_headers:
                headers.append(header)
        headers.append((names.caller_service, self.caller_service))
        if table.customers is not None:
            headers = list(name_customer(tuple(headers), customer, names))
        request = exchange.request
        return CallContext(
            CallId(call_id.decode("latin-1")),
            route,
            self.traffic_split.pick(route),
            RelayRequest(request.method, request.target, tuple(headers), request.body),
            Millis(exchange.arrived + min(time_left, route.timeout)),
            time_left,
            table.version,
            route.rank if table.customers is None else call_rank(customer, route.rank),
            customer,
        )

    def _latest_attempt_start(self, context: CallContext) -> Millis:
        """Return the latest time to start an attempt; the end of a drain cuts off open calls."""
        return (
            context.deadline
            if self.drain_plan is None
            else min(context.deadline, self.drain_plan.end)
        )

    def _judge(self, context: CallContext) -> Verdict:
        if not self.suspects.records:
            return Verdict.FREE
        fingerprint = relay_fingerprint(context.service, context.request)
        return self.suspects.judge(fingerprint, monotonic_ms())

    def _allowed_endpoints(self, context: CallContext) -> tuple[Endpoint, ...]:
        """Return the endpoints for the next attempt; a suspected request may try only one."""
        endpoints = self.endpoints_by_service.get(context.service, ())
        verdict = self._judge(context)
        if verdict is Verdict.FREE:
            return endpoints
        if verdict is Verdict.REFUSED:
            return ()
        fingerprint = relay_fingerprint(context.service, context.request)
        struck = self.suspects.struck_daemons(fingerprint)
        trial = select_trial_endpoint(fingerprint, endpoints, struck)
        return () if trial is None else (trial,)

    def _log_report(self, report: CrashReport) -> None:
        if report.strikes:
            self.log.write_change("strikes_learnt", fingerprints=len(report.strikes))
        for fingerprint in report.condemned:
            self.log.write_change("request_refused", fingerprint=fingerprint)
        for clearance in report.clearances:
            self.log.write_change("strikes_lifted", fingerprint=clearance.fingerprint)

    def _new_handover_id(self) -> HandoverId:
        return next(self.handover_ids)

    def _on_call_ended(self, call: RelayedCall, result: RelayResult) -> None:
        if call.context.customer is not None:
            self.limits.settle(call.context.customer, call.arrivals)
        response = self._response_for(result, call.context.service)
        took = monotonic_ms() - call.exchange.arrived
        route = call.context.route
        self.metrics.count_call(call.context.service, result, took)
        failed = (
            result.outcome is not Outcome.RAN
            or call.attempts > 1
            or response.status >= SERVER_ERROR
        )
        if failed or self.log.should_write_served_call():
            write_line = self.log.write_failed_call if failed else self.log.write_served_call
            write_line(
                "call",
                call_id=call.context.call_id,
                route=route.name,
                rank=call.context.rank,
                customer=call.context.customer_name,
                service=call.context.service,
                version=call.context.version,
                upstream=call.last_sent.daemon_id if call.last_sent else "",
                instance=call.last_sent.instance if call.last_sent else "",
                attempts=call.attempts,
                hedged=call.hedged,
                outcome=result.outcome.value,
                reason=result.reason.value if result.reason else "",
                target=call.context.request.target.decode("latin-1"),
                status=response.status,
                stated_ms=int(call.context.stated_time),
                took_ms=int(took),
            )
        call.exchange.respond(response)

    def _refuse_beyond_limit(
        self, exchange: Exchange, customer: Customer, wait: Millis, version: int
    ) -> None:
        header = (b"retry-after", b"%.3f" % (wait / 1000))
        self._refuse(
            exchange, TOO_MANY_REQUESTS, Reason.CUSTOMER_LIMIT, version, customer.name, (header,)
        )

    def _refuse(
        self,
        exchange: Exchange,
        status: int,
        reason: Reason,
        version: int,
        customer: CustomerName = NO_CUSTOMER,
        headers: HeaderRows = (),
    ) -> None:
        call_ids = [value for name, value in exchange.request.headers if name == self.names.call_id]
        self.metrics.count_refusal(reason)
        self.log.write_failed_call(
            "call_refused",
            call_id=call_ids[0].decode("latin-1") if call_ids else "",
            host=exchange.host,
            reason=reason.value,
            customer=customer,
            version=version,
            status=status,
        )
        exchange.respond(RelayResponse(status, headers or self._refusal_headers(status), b""))

    def _refusal_headers(self, status: int) -> HeaderRows:
        if status == UNAUTHORIZED:
            # HTTP requires the scheme in such an answer.
            return ((b"www-authenticate", self.names.key_scheme.title()),)
        return self._retry_after_headers() if status == UNAVAILABLE else ()

    def _response_for(self, result: RelayResult, service: ServiceName) -> RelayResponse:
        if result.response is not None:
            return result.response
        if result.outcome is Outcome.NOT_RUN:
            limit = self.balancer.total_limit(self.endpoints_by_service.get(service, ()))
            return RelayResponse(UNAVAILABLE, self._retry_after_headers(limit), b"")
        if result.reason is Reason.TIMEOUT:
            return RelayResponse(GATEWAY_TIMEOUT, (), b"")
        return RelayResponse(BAD_GATEWAY, (), b"")

    def _retry_after_headers(self, limit: float = math.inf) -> tuple[tuple[bytes, bytes], ...]:
        """Return when to come back to upstreams that take `limit` calls a second, if they do."""
        seconds = self.rng.uniform(RETRY_AFTER_MIN_SECONDS, RETRY_AFTER_MAX_SECONDS)
        if 0 < limit < math.inf:
            seconds += 1 / limit
        return ((b"retry-after", b"%.3f" % seconds),)
