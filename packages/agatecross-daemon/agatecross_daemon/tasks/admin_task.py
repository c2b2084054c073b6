"""Owns the listener for operators and for the upstream next to this daemon."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import msgspec

from agatecross_adapters.control_nng import TrafficCounters
from agatecross_adapters.protocols import HttpListener
from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import NO_DIGEST, NO_VERSION
from agatecross_core.ids import Address, DaemonId, Digest, Fingerprint, Version
from agatecross_core.members.records import Member, UpstreamInfo
from agatecross_core.members.view import FleetView
from agatecross_core.states import DaemonState

from ..customer_view import customer_of_path, customers_response
from ..mailbox import Mailbox, Sender, new_ask
from ..messages import (
    ConfigInForce,
    Leaving,
    LiftQuarantine,
    ListCustomers,
    ListQuarantine,
    ViewChanged,
)
from .fleet_limits_task import ListCustomersAsk
from .quarantine_driver import LiftAsk, ListAsk
from .upstream_task import UpstreamAnnounced

PATH_PREFIX = "/agatecross/v1"
QUARANTINE_PATH = f"{PATH_PREFIX}/quarantine"

AdminMessage = ConfigInForce | ViewChanged | Leaving


@dataclass(frozen=True, slots=True)
class Status:
    """Body of the status response; the control traffic is in payload bytes since the start."""

    daemon_id: DaemonId
    state: DaemonState
    version: Version
    digest: Digest
    members: int
    control_sent_bytes: int
    control_received_bytes: int


class AnnouncedStart(msgspec.Struct):
    """The start of the upstream that announces itself, in Unix milliseconds; 0 if not stated."""

    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class AdminTask:
    """Answers requests of operators and accepts the announcements of the upstream."""

    def __init__(
        self,
        mailbox: Mailbox[AdminMessage],
        address: Address,
        own_member: Member,
        listener: HttpListener,
        upstream: Sender[UpstreamAnnounced],
        traffic: TrafficCounters,
        quarantine: Sender[ListAsk | LiftAsk],
        collect_metrics: Callable[[], bytes],
        customers: Sender[ListCustomersAsk],
    ) -> None:
        self.address = address
        self.own_member = own_member
        self.listener = listener
        self.upstream = upstream
        self.traffic = traffic
        self.quarantine = quarantine
        self.collect_metrics = collect_metrics
        self.customers = customers
        self.mailbox = mailbox
        self.state = DaemonState.STARTING
        self.version = NO_VERSION
        self.digest = NO_DIGEST
        self.view = FleetView()
        self.handlers: dict[tuple[str, str], Callable[[Request], Response]] = {
            ("GET", f"{PATH_PREFIX}/status"): self._handle_status,
            ("GET", f"{PATH_PREFIX}/members"): self._handle_members,
            ("GET", f"{PATH_PREFIX}/ready"): self._handle_ready,
            ("GET", f"{PATH_PREFIX}/metrics"): self._handle_metrics,
            ("PUT", f"{PATH_PREFIX}/upstream"): self._handle_announcement,
        }

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listener.listen(self.address, self._handle_request)
        while True:
            match await self.mailbox.get():
                case ConfigInForce(snapshot):
                    self.version, self.digest = snapshot.version, snapshot.digest
                    if self.state is DaemonState.STARTING:
                        self.state = DaemonState.READY
                case ViewChanged(view):
                    self.view = view
                case Leaving():
                    self.state = DaemonState.LEAVING

    async def drain(self) -> None:
        """Close the listener once every request that has begun to arrive is answered."""
        await self.listener.close()

    async def _handle_request(self, request: Request) -> Response:
        path = request.path.split("?", 1)[0]
        if request.method == "GET" and path == QUARANTINE_PATH:
            return await self._list_quarantine()
        if request.method == "DELETE" and path.startswith(f"{QUARANTINE_PATH}/"):
            return await self._lift_quarantine(
                Fingerprint(path.removeprefix(f"{QUARANTINE_PATH}/"))
            )
        customer = customer_of_path(path)
        if request.method == "GET" and customer is not None:
            return await self._list_customers(customer)
        handler = self.handlers.get((request.method, path))
        return (
            handler(request)
            if handler
            else _json_response(404, {"error": "unknown path or method"})
        )

    async def _list_quarantine(self) -> Response:
        ask: ListAsk = new_ask(ListQuarantine())
        self.quarantine.put(ask)
        return _json_response(200, await ask.reply)

    async def _list_customers(self, customer: str) -> Response:
        ask: ListCustomersAsk = new_ask(ListCustomers(customer))
        self.customers.put(ask)
        return customers_response(await ask.reply)

    async def _lift_quarantine(self, fingerprint: Fingerprint) -> Response:
        ask: LiftAsk = new_ask(LiftQuarantine(fingerprint))
        self.quarantine.put(ask)
        if await ask.reply:
            return _json_response(200, {"lifted": fingerprint})
        return _json_response(404, {"error": "fingerprint has no strikes"})

    def _handle_status(self, request: Request) -> Response:
        del request
        status = Status(
            self.own_member.daemon_id,
            self.state,
            self.version,
            self.digest,
            len(self.view.members),
            self.traffic.sent_bytes,
            self.traffic.received_bytes,
        )
        return _json_response(200, status)

    def _handle_members(self, request: Request) -> Response:
        del request
        return _json_response(200, tuple(self.view.members.values()))

    def _handle_ready(self, request: Request) -> Response:
        del request
        ready = self.state is DaemonState.READY and not self.view.stale
        return _json_response(200 if ready else 503, {"state": self.state.value})

    def _handle_metrics(self, request: Request) -> Response:
        del request
        return Response(200, (("Content-Type", "application/json"),), self.collect_metrics())

    def _handle_announcement(self, request: Request) -> Response:
        try:
            info = msgspec.json.decode(request.body, type=UpstreamInfo)
            start = msgspec.json.decode(request.body, type=AnnouncedStart)
        except (msgspec.MsgspecError, RecursionError) as error:
            return _json_response(400, {"error": str(error)})
        self.upstream.put(UpstreamAnnounced(info, start.born))
        return _json_response(200, {"daemon_id": self.own_member.daemon_id})


def _json_response(status: int, body: object) -> Response:
    return Response(status, (("Content-Type", "application/json"),), msgspec.json.encode(body))
