"""Owns the upstream next to this daemon: its lease, queue, slots and connections."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from agatecross_adapters.call_headers import (
    CALL_ID,
    DEADLINE,
    LOAD,
    decode_call,
    encode_result,
)
from agatecross_adapters.protocols import HttpClient, HttpListener
from agatecross_core.admission.model import (
    DEFAULT_CLASS_POLICY,
    AdmissionAction,
    AdmissionMessage,
    CallArrived,
    CallCancelled,
    CallFinished,
    CapacityAnnounced,
    ClassPolicy,
    Drain,
    Ending,
    LeaseExpired,
    RefuseCall,
    StartCall,
    StopCall,
    TimePassed,
)
from agatecross_core.admission.policies import AdmissionPolicy
from agatecross_core.calls.model import (
    Call,
    CallResult,
    Request,
    Response,
    exchange_failed,
    not_run,
    ran,
    unknown,
)
from agatecross_core.config.model import MeshSnapshot
from agatecross_core.constants import CONNECT_TIMEOUT, UPSTREAM_LEASE
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, CallId, DataCentreName, Millis
from agatecross_core.members.records import UpstreamInfo
from agatecross_core.quarantine.gate import TrialGate
from agatecross_core.quarantine.model import InFlight, fingerprint_of
from agatecross_core.states import Outcome, Reason

from ..events import log_event, log_warning
from ..mailbox import Ask, Mailbox, Sender, monotonic_ms, new_ask
from ..messages import (
    ConfigInForce,
    Leaving,
    SuspectsChanged,
    Tick,
    UpstreamChanged,
    UpstreamDied,
)
from .subtasks import Subtasks

TICK_SECONDS = 0.25
ENDING_SECONDS = 0.1
SHED_HEADER = "Agatecross-Outcome"
CLOSE_CONNECTION = ("Connection", "close")

CallAsk = Ask[Call, CallResult]
DeathAsk = Ask[UpstreamDied, None]


@dataclass(frozen=True, slots=True)
class UpstreamAnnounced:
    """The upstream announced itself."""

    info: UpstreamInfo


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A call that was started has a result."""

    call_id: CallId
    result: CallResult


UpstreamMessage = (
    CallAsk
    | CallCancelled
    | UpstreamAnnounced
    | CallEnded
    | ConfigInForce
    | SuspectsChanged
    | Leaving
    | Tick
)


class UpstreamTask:
    """Runs calls on the upstream as its admission policy decides; refuses the others as not run."""

    def __init__(
        self,
        mailbox: Mailbox[UpstreamMessage],
        address: Address,
        data_centre: DataCentreName,
        listener: HttpListener,
        client: HttpClient,
        members: Sender[UpstreamChanged],
        admission: AdmissionPolicy,
        gate: TrialGate,
        deaths: Sender[DeathAsk],
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.listener = listener
        self.client = client
        self.members = members
        self.admission = admission
        self.gate = gate
        self.deaths = deaths
        self.deaths_of: dict[CallId, DeathAsk] = {}
        # Calls that lost their connection, until it is certain whether the upstream died.
        self.probing: dict[CallId, InFlight] = {}
        self.mailbox = mailbox
        self.info: UpstreamInfo | None = None
        self.snapshot: MeshSnapshot | None = None
        self.lease_until = Millis(0)
        self.leaving = False
        self.asks: dict[CallId, CallAsk] = {}
        self.exchanges: dict[CallId, asyncio.Task[CallResult]] = {}
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listener.listen(self.address, self._peer_request)
        ticks = asyncio.ensure_future(self._ticks())
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            ticks.cancel()
            self.subtasks.cancel()

    async def drained(self) -> None:
        """Return when no call runs on the upstream and every response was written."""
        await self.subtasks.wait()
        await self.listener.close()
        # A call that arrived just before the queue closed may have outlived its sender.
        await self.subtasks.wait()

    async def _peer_request(self, request: Request) -> Response:
        call = decode_call(request, monotonic_ms())
        if call is None:
            return encode_result(not_run(Reason.BAD_REQUEST))
        ask: CallAsk = new_ask(call)
        self.mailbox.put(ask)
        result = await ask.reply
        # Peers drop their idle connections to a daemon that leaves before it closes them.
        extra = (CLOSE_CONNECTION,) if self.leaving else ()
        return encode_result(result, (LOAD, self._load()), *extra)

    def _load(self) -> str:
        return f"{self.admission.running} {self.admission.waiting} {self.admission.slots}"

    def _handle(self, message: UpstreamMessage) -> None:
        now = monotonic_ms()
        match message:
            case UpstreamAnnounced(info):
                self._announced(info, now)
            case CallEnded(call_id, result):
                self.exchanges.pop(call_id, None)
                self.gate.ended(call_id)
                self._forget_death(call_id)
                self._answer(call_id, result)
                self._decide(CallFinished(call_id, _ending(result)), now)
            case CallCancelled(call_id):
                self.asks.pop(call_id, None)
                self._decide(message, now)
            case ConfigInForce(snapshot):
                self.snapshot = snapshot
                self._decide(self._class_policy(), now)
            case SuspectsChanged(suspects):
                self.gate.suspects_changed(suspects)
            case Leaving():
                self.leaving = True
                self._decide(Drain(), now)
            case Tick():
                self._check_lease(now)
                self._decide(TimePassed(), now)
            case _:
                self._arrived(message, now)

    def _arrived(self, ask: CallAsk, now: Millis) -> None:
        call = ask.payload
        if ask.reply.cancelled():
            return
        if self.leaving:
            ask.answer(not_run(Reason.LEAVING))
        elif self.info is None or self.info.service != call.service:
            ask.answer(not_run(Reason.NO_UPSTREAM))
        elif any(call.call_id in rows for rows in (self.asks, self.exchanges, self.probing)):
            # An earlier attempt of the same call is still here; its answer must stay its own.
            ask.answer(not_run(Reason.TOO_MANY_CALLS))
        else:
            self.asks[call.call_id] = ask
            ask.reply.add_done_callback(lambda reply: self._reply_done(call.call_id, reply))
            self._decide(CallArrived(call), now)

    def _reply_done(self, call_id: CallId, reply: asyncio.Future[CallResult]) -> None:
        if reply.cancelled():
            self.mailbox.put(CallCancelled(call_id))

    def _announced(self, info: UpstreamInfo, now: Millis) -> None:
        self.lease_until = Millis(now + UPSTREAM_LEASE)
        if info == self.info:
            return
        log_event("upstream_changed", service=info.service, state=info.state.value)
        self.info = info
        self._decide(self._class_policy(), now)
        self._decide(CapacityAnnounced(info.slots, info.connections, info.state), now)
        self.members.put(UpstreamChanged(info))

    def _class_policy(self) -> ClassPolicy:
        site = self.snapshot.sites.get(self.data_centre) if self.snapshot else None
        policy = site.services.get(self.info.service) if site and self.info else None
        if policy is None:
            return DEFAULT_CLASS_POLICY
        return ClassPolicy(Millis(policy.long_ms), policy.long_share)

    def _check_lease(self, now: Millis) -> None:
        if self.info is not None and now > self.lease_until:
            log_event("upstream_lease_expired", service=self.info.service)
            self.info = None
            self._decide(LeaseExpired(), now)
            self.members.put(UpstreamChanged(None))

    def _decide(self, message: AdmissionMessage, now: Millis) -> None:
        self._act(self.admission.handle(message, now))

    def _act(self, actions: Iterable[AdmissionAction]) -> None:
        for action in actions:
            match action:
                case StartCall(call):
                    self._start(call)
                case RefuseCall(call_id, reason):
                    self._answer(call_id, not_run(reason))
                case StopCall(call_id):
                    # A call that the gate refused has no exchange.
                    if call_id in self.exchanges:
                        self.exchanges[call_id].cancel()

    def _start(self, call: Call) -> None:
        fingerprint = fingerprint_of(call.service, call.request)
        refusal = self.gate.refusal(fingerprint)
        if refusal is not None:
            self.mailbox.put(CallEnded(call.call_id, not_run(refusal)))
            return
        assert self.info is not None
        flight = InFlight(fingerprint, call.request.path)
        self.gate.started(call.call_id, flight)
        exchange = self.subtasks.start(self._run(call, flight, self.info.address))
        self.exchanges[call.call_id] = exchange
        # A callback and not the exchange reports the end: a cancelled exchange must free its slot.
        exchange.add_done_callback(lambda ended: self._exchange_done(call.call_id, ended))

    def _exchange_done(self, call_id: CallId, exchange: asyncio.Task[CallResult]) -> None:
        result = unknown(Reason.CONNECTION_LOST)
        if not exchange.cancelled() and (error := exchange.exception()) is None:
            result = exchange.result()
        elif not exchange.cancelled():
            log_warning("exchange_failed", call_id=call_id, reason=repr(error))
        self.mailbox.put(CallEnded(call_id, result))

    def _answer(self, call_id: CallId, result: CallResult) -> None:
        ask = self.asks.pop(call_id, None)
        if ask is not None:
            ask.answer(result)

    async def _run(self, call: Call, flight: InFlight, address: Address) -> CallResult:
        left = Millis(max(1.0, call.deadline - monotonic_ms()))
        headers = (
            *call.request.headers,
            (CALL_ID, call.call_id),
            (DEADLINE, f"{left:.1f}"),
        )
        request = Request(call.request.method, call.request.path, headers, call.request.body)
        result = await self._exchange(address, request, left)
        if result.reason is Reason.CONNECTION_LOST:
            self.probing[call.call_id] = flight
            # Goes on when the call is cancelled, as a hedge is whose other attempt ended: a death
            # that is not counted lets the request crash one more upstream.
            await asyncio.shield(self.subtasks.start(self._probe(call.call_id, address)))
        return result

    async def _probe(self, call_id: CallId, address: Address) -> None:
        """Report the upstream's death, if it died, before the call is answered."""
        try:
            if await refuses_connections(address):
                await self._report_death(call_id)
        finally:
            del self.probing[call_id]
            self._forget_death(call_id)

    def _forget_death(self, call_id: CallId) -> None:
        if call_id not in self.gate.running and call_id not in self.probing:
            self.deaths_of.pop(call_id, None)

    async def _report_death(self, call_id: CallId) -> None:
        """Report each death once, with every call that was running, and wait until it is known."""
        if call_id not in self.deaths_of:
            running = {**self.gate.running, **self.probing}
            lost = {i: row for i, row in running.items() if i not in self.deaths_of}
            ask: DeathAsk = new_ask(UpstreamDied(tuple(lost.values())))
            log_event("upstream_died", calls=len(lost))
            self.deaths_of.update(dict.fromkeys(lost, ask))
            self.deaths.put(ask)
        await self.deaths_of[call_id].reply

    async def _exchange(self, address: Address, request: Request, left: Millis) -> CallResult:
        try:
            response = await self.client.send(address, request, left)
        except ExchangeError as error:
            return exchange_failed(error)
        if response.header(SHED_HEADER) == "not-run":
            return not_run(Reason.SHED)
        return ran(response)

    async def _ticks(self) -> None:
        while True:
            self.mailbox.put(Tick())
            await asyncio.sleep(TICK_SECONDS)


def _ending(result: CallResult) -> Ending:
    if result.outcome is Outcome.RAN or result.reason is Reason.TIMEOUT:
        return Ending.COMPLETED
    return Ending.SHED if result.reason is Reason.SHED else Ending.FAILED


async def refuses_connections(address: Address) -> bool:
    """Return whether the address refuses new connections, as that of a dead process does."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    try:
        # A process that is ending may still accept, but then closes; a live one waits for a call.
        async with asyncio.timeout(ENDING_SECONDS):
            return await reader.read(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()
