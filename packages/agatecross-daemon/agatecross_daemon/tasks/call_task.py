"""Owns the callers' listener and carries each call to an outcome."""

import uuid

from agatecross_adapters.call_headers import (
    IDEMPOTENCY_KEY,
    encode_result,
    public_headers,
    remaining_ms,
)
from agatecross_adapters.protocols import HttpListener
from agatecross_core.admission.retry import RetryBudget
from agatecross_core.calls.flow import run_call
from agatecross_core.calls.model import Call, CallResult, Request, Response, not_run
from agatecross_core.config.model import MeshSnapshot, ServicePolicy
from agatecross_core.constants import MAX_CALLS_IN_FLIGHT
from agatecross_core.ids import (
    Address,
    CallId,
    DataCentreName,
    IdempotencyKey,
    Millis,
    ServiceName,
)
from agatecross_core.members.view import FleetView
from agatecross_core.routing.model import Candidate, ChoiceRequest
from agatecross_core.routing.router import Balancer
from agatecross_core.routing.routes import find_route
from agatecross_core.states import Reason

from ..events import log_event
from ..mailbox import Mailbox, monotonic
from ..messages import ConfigInForce, Leaving, ViewChanged
from .call_driver import CallDriver

CallMessage = ConfigInForce | ViewChanged | Leaving


class CallTask:
    """Routes calls of callers; keeps the snapshot and view that new calls begin with."""

    def __init__(
        self,
        mailbox: Mailbox[CallMessage],
        address: Address,
        data_centre: DataCentreName,
        listener: HttpListener,
        balancer: Balancer,
        driver: CallDriver,
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.listener = listener
        self.balancer = balancer
        self.driver = driver
        self.mailbox = mailbox
        self.snapshot: MeshSnapshot | None = None
        self.view = FleetView()
        self.budgets: dict[ServiceName, RetryBudget] = {}
        self.in_flight = 0

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listener.listen(self.address, self._caller_request)
        while True:
            match await self.mailbox.get():
                case ConfigInForce(snapshot):
                    self.snapshot = snapshot
                case ViewChanged(view):
                    self.view = view
                    self.balancer.view_changed(view)
                case Leaving():
                    self.listener.close_idle()

    async def drained(self) -> None:
        """Return when no call is in flight and every response was written."""
        await self.listener.close()

    async def _caller_request(self, request: Request) -> Response:
        if self.in_flight >= MAX_CALLS_IN_FLIGHT:
            return encode_result(not_run(Reason.TOO_MANY_CALLS))
        self.in_flight += 1
        try:
            return encode_result(await self._carry(request))
        finally:
            self.in_flight -= 1

    async def _carry(self, request: Request) -> CallResult:
        site = self.snapshot.sites.get(self.data_centre) if self.snapshot else None
        if site is None:
            return not_run(Reason.NO_CONFIGURATION)
        if self.view.stale:
            return not_run(Reason.STALE_VIEW)
        route = find_route(site, request.header("Host") or "", request.path)
        if route is None:
            return not_run(Reason.NO_ROUTE)
        policy = site.services[route.service]
        call = _new_call(request, policy, monotonic())
        budget = self.budgets.setdefault(policy.name, RetryBudget(policy.retry_ratio))
        flow = run_call(call, policy, self._choose, budget)
        result = await self.driver.drive(flow)
        if result.response is None:
            log_event(
                "call_failed",
                call_id=call.call_id,
                service=call.service,
                outcome=result.outcome.value,
                reason=result.reason.value if result.reason else "",
            )
        return result

    def _choose(self, request: ChoiceRequest) -> Candidate | None:
        return self.balancer.choose(request, monotonic())


def _new_call(request: Request, policy: ServicePolicy, now: Millis) -> Call:
    stated = remaining_ms(request)
    left = policy.timeout_ms if stated is None else min(stated, policy.timeout_ms)
    key = request.header(IDEMPOTENCY_KEY)
    plain = Request(request.method, request.path, public_headers(request.headers), request.body)
    return Call(
        CallId(uuid.uuid4().hex),
        policy.name,
        plain,
        Millis(now + left),
        request.method in policy.idempotent_methods,
        IdempotencyKey(key) if key else None,
    )
