"""Owns the listener for callers and runs each call until it has an outcome."""

import asyncio
import uuid
from dataclasses import replace

from agatecross_adapters.call_headers import (
    IDEMPOTENCY_KEY_HEADER,
    decode_time_left_ms,
    encode_result,
    public_headers,
    read_key,
    without_key,
)
from agatecross_adapters.protocols import HttpListener
from agatecross_core.admission.retry import RetryBudget
from agatecross_core.calls.arrivals import ArrivalCount, count_arrivals
from agatecross_core.calls.flow import run_call
from agatecross_core.calls.model import (
    Call,
    CallResult,
    Request,
    Response,
    not_run_result,
    unknown_result,
)
from agatecross_core.config.model import MeshConfig, Route, ServicePolicy
from agatecross_core.constants import MAX_CALLS_IN_FLIGHT, MAX_IDEMPOTENCY_KEY_LENGTH
from agatecross_core.customers.access import decide_access
from agatecross_core.customers.keys import KeyHasher, KeyTable
from agatecross_core.customers.model import Customer
from agatecross_core.idempotency.model import CallSubmitted, ClaimedCallFinished, Grant
from agatecross_core.ids import (
    NO_CUSTOMER,
    Address,
    CallId,
    DataCentreName,
    Fingerprint,
    IdempotencyKey,
    Millis,
    ServiceName,
)
from agatecross_core.members.view import FleetView
from agatecross_core.pacing import TokenBucket
from agatecross_core.quarantine.model import fingerprint_of
from agatecross_core.routing.model import Candidate, ChoiceRequest
from agatecross_core.routing.router import Balancer
from agatecross_core.routing.routes import find_route
from agatecross_core.states import Outcome, Reason

from ..events import log_event
from ..mailbox import Mailbox, Sender, monotonic_ms, new_ask
from ..messages import ConfigInForce, Leaving, ViewChanged
from .call_driver import CallDriver
from .claims_task import ClaimAsk
from .limits_task import CustomerLimiter
from .quarantine_driver import QuarantineDriver, QuarantineMessage

# A customer beyond its limit may be refused thousands of times a second.
LIMIT_LOG_LINES = 20
LIMIT_LOG_INTERVAL = Millis(500)

CallMessage = ConfigInForce | ViewChanged | Leaving | QuarantineMessage


class CallTask:
    """Routes the calls of callers; holds the snapshot and the view that new calls use."""

    def __init__(
        self,
        mailbox: Mailbox[CallMessage],
        address: Address,
        data_centre: DataCentreName,
        listener: HttpListener,
        balancer: Balancer,
        driver: CallDriver,
        claims: Sender[ClaimAsk | ClaimedCallFinished],
        quarantine: QuarantineDriver,
        key_hasher: KeyHasher,
        limits: CustomerLimiter,
    ) -> None:
        self.key_hasher = key_hasher
        self.limits = limits
        self.limit_log = TokenBucket(LIMIT_LOG_LINES, LIMIT_LOG_INTERVAL)
        self.customers: KeyTable | None = None
        self.address = address
        self.data_centre = data_centre
        self.listener = listener
        self.balancer = balancer
        self.driver = driver
        self.claims = claims
        self.quarantine = quarantine
        self.mailbox = mailbox
        self.snapshot: MeshConfig | None = None
        self.view = FleetView()
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self.in_flight = 0
        self.keyed_calls: set[asyncio.Task[CallResult]] = set()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listener.listen(self.address, self._handle_caller_request)
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            self.quarantine.close()

    def _handle(self, message: CallMessage) -> None:
        match message:
            case ConfigInForce(snapshot):
                self.snapshot = snapshot
                site = snapshot.sites.get(self.data_centre)
                rows = site.customers if site is not None else ()
                self.customers = KeyTable(rows, self.key_hasher) if rows else None
            case ViewChanged(view, own_member):
                self.view = view
                self.balancer.apply_view(view)
                self.quarantine.view_changed(view, own_member)
            case Leaving():
                self.listener.close_after_responses()
            case _:
                self.quarantine.handle(message)

    async def drain(self) -> None:
        """Close the listener after the last response; wait until no call is in flight."""
        await self.listener.close()
        while self.keyed_calls:
            await asyncio.wait(self.keyed_calls)

    async def _handle_caller_request(self, request: Request) -> Response:
        if self.in_flight >= MAX_CALLS_IN_FLIGHT:
            return encode_result(not_run_result(Reason.TOO_MANY_CALLS))
        self.in_flight += 1
        try:
            return encode_result(await self._route_call(request))
        finally:
            self.in_flight -= 1

    async def _route_call(self, request: Request) -> CallResult:
        site = self.snapshot.sites.get(self.data_centre) if self.snapshot else None
        if site is None:
            return not_run_result(Reason.NO_CONFIGURATION)
        if self.view.stale:
            return not_run_result(Reason.STALE_VIEW)
        route = find_route(site, request.header("Host") or "", request.path)
        if route is None:
            return not_run_result(Reason.NO_ROUTE)
        access = decide_access(self.customers, route.allow_anonymous, read_key(request))
        if access.refusal is not None:
            log_event("call_refused", route=route.name, reason=access.refusal.value)
            return not_run_result(access.refusal)
        policy = site.services[route.service]
        call = _new_call(request, policy, monotonic_ms())
        if self.customers is not None:
            public = replace(call.request, headers=without_key(call.request.headers))
            name = access.customer.name if access.customer is not None else NO_CUSTOMER
            call = replace(call, request=public, customer=name)
        fingerprint = fingerprint_of(call.service, call.request)
        if self.quarantine.is_quarantined(fingerprint):
            return not_run_result(Reason.QUARANTINED)
        key = None if call.idempotent else call.key
        if key is not None and len(key) > MAX_IDEMPOTENCY_KEY_LENGTH:
            return not_run_result(Reason.BAD_REQUEST)
        customer = access.customer
        if customer is not None and (wait := self.limits.admit(customer)) is not None:
            self._log_limited(route, customer)
            return not_run_result(Reason.CUSTOMER_LIMIT, wait)
        if key is None:
            return await self._run_counted(call, policy, key, fingerprint, customer)
        # The call continues when its caller disconnects, so that a resubmission finds its outcome.
        task = asyncio.ensure_future(self._run_counted(call, policy, key, fingerprint, customer))
        self.keyed_calls.add(task)
        task.add_done_callback(self.keyed_calls.discard)
        return await asyncio.shield(task)

    async def _run_counted(
        self,
        call: Call,
        policy: ServicePolicy,
        key: IdempotencyKey | None,
        fingerprint: Fingerprint,
        customer: Customer | None,
    ) -> CallResult:
        """Run an admitted call, and tell the limits at how many upstreams it arrived."""
        arrivals = ArrivalCount()
        try:
            if key is None:
                return await self._run_attempts(call, policy, fingerprint, arrivals)
            return await self._claim_and_run(call, policy, key, fingerprint, arrivals)
        finally:
            if customer is not None:
                self.limits.settle(customer, arrivals.number)

    async def _claim_and_run(
        self,
        call: Call,
        policy: ServicePolicy,
        key: IdempotencyKey,
        fingerprint: Fingerprint,
        arrivals: ArrivalCount,
    ) -> CallResult:
        # Customers choose their keys independently of each other.
        owner = f"{call.service}/{call.customer}" if call.customer else call.service
        scoped = IdempotencyKey(f"{owner}/{key}")
        ask: ClaimAsk = new_ask(CallSubmitted(call.call_id, scoped, fingerprint, call.deadline))
        self.claims.put(ask)
        claim_reply = await ask.reply
        if not isinstance(claim_reply, Grant):
            return claim_reply
        result = unknown_result(Reason.CONNECTION_LOST)
        try:
            result = await self._run_attempts(call, policy, fingerprint, arrivals)
            return result
        finally:
            self.claims.put(ClaimedCallFinished(claim_reply.claim_id, result))

    async def _run_attempts(
        self,
        call: Call,
        policy: ServicePolicy,
        fingerprint: Fingerprint,
        arrivals: ArrivalCount,
    ) -> CallResult:
        budget = self.budgets.setdefault(policy.name, RetryBudget(policy.retry_ratio))
        chooser = self.quarantine.restrict_chooser(fingerprint, call.request.path, self._choose)
        flow = count_arrivals(run_call(call, policy, chooser, budget), arrivals)
        result = await self.driver.drive(flow)
        if result.outcome is Outcome.RAN:
            self.quarantine.clear_fingerprint(fingerprint)
        elif result.outcome is Outcome.NOT_RUN and self.quarantine.is_quarantined(fingerprint):
            result = not_run_result(Reason.QUARANTINED)
        self._log_failure(call, result)
        return result

    def _log_limited(self, route: Route, customer: Customer) -> None:
        if self.limit_log.take(monotonic_ms()):
            reason = Reason.CUSTOMER_LIMIT.value
            log_event("call_refused", route=route.name, reason=reason, customer=customer.name)

    def _log_failure(self, call: Call, result: CallResult) -> None:
        if result.response is None:
            log_event(
                "call_failed",
                call_id=call.call_id,
                service=call.service,
                outcome=result.outcome.value,
                reason=result.reason.value if result.reason else "",
            )

    def _choose(self, request: ChoiceRequest) -> Candidate | None:
        return self.balancer.choose(request, monotonic_ms())


def _new_call(request: Request, policy: ServicePolicy, now: Millis) -> Call:
    remaining = decode_time_left_ms(request)
    time_left = policy.timeout_ms if remaining is None else min(remaining, policy.timeout_ms)
    key = request.header(IDEMPOTENCY_KEY_HEADER)
    public_request = Request(
        request.method, request.path, public_headers(request.headers), request.body
    )
    return Call(
        CallId(uuid.uuid4().hex),
        policy.name,
        public_request,
        Millis(now + time_left),
        request.method in policy.idempotent_methods,
        IdempotencyKey(key) if key else None,
    )
