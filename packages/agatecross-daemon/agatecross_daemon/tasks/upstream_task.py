"""Owns the upstream next to this daemon: its lease, queue, slots and connections."""

import asyncio
import contextlib
from collections.abc import Iterable
from dataclasses import dataclass

from agatecross_adapters.call_headers import (
    CALL_ID_HEADER,
    DEADLINE_HEADER,
    LOAD_HEADER,
    customer_header,
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
    CallEnding,
    CallFinished,
    CapacityAnnounced,
    ClassPolicy,
    DaemonLeaving,
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
    failed_exchange_result,
    not_run_result,
    ran_result,
    unknown_result,
)
from agatecross_core.config.model import MeshConfig
from agatecross_core.constants import CONNECT_TIMEOUT, UPSTREAM_LEASE
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, CallId, DataCentreName, Millis
from agatecross_core.members.records import UpstreamInfo
from agatecross_core.quarantine.gate import TrialGate
from agatecross_core.quarantine.model import InFlightCall, fingerprint_of
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
CLOSE_PROBE_SECONDS = 0.1
# An upstream that accepts connections again after a restart announces itself at once; the answer to
# a lost call waits this long for that, so that its strike counts before the call is sent again.
RESTART_HOLD_SECONDS = 0.25
# One announcement of the process that died may still be on its way when a connection is lost.
ANNOUNCEMENTS_OF_LIVING_UPSTREAM = 2
SHED_HEADER = "Agatecross-Outcome"
CONNECTION_CLOSE_HEADER = ("Connection", "close")

CallAsk = Ask[Call, CallResult]
DeathAsk = Ask[UpstreamDied, None]


@dataclass(frozen=True, slots=True)
class UpstreamAnnounced:
    """The upstream announced itself; `born` is its start in Unix milliseconds, 0 if unknown."""

    info: UpstreamInfo
    born: int = 0


@dataclass(slots=True)
class LostCall:
    """A call whose connection was lost, and how often the upstream has announced itself since."""

    in_flight: InFlightCall
    announcements: int = 0


@dataclass(frozen=True, slots=True)
class CallEnded:
    """A started call ended with this result."""

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
    """Runs the calls that the admission policy admits; refuses the others as not run."""

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
        self.death_reports: dict[CallId, DeathAsk] = {}
        # Calls whose connection was lost, until it is certain whether the upstream died.
        self.probing: dict[CallId, InFlightCall] = {}
        # Calls that were answered while it was uncertain whether the upstream died.
        self.lost_calls: dict[CallId, LostCall] = {}
        self.born = 0
        self.restarted = asyncio.Event()
        self.mailbox = mailbox
        self.info: UpstreamInfo | None = None
        self.snapshot: MeshConfig | None = None
        self.lease_until = Millis(0)
        self.leaving = False
        self.asks: dict[CallId, CallAsk] = {}
        self.exchanges: dict[CallId, asyncio.Task[CallResult]] = {}
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.listener.listen(self.address, self._handle_peer_request)
        ticks = asyncio.ensure_future(self._send_ticks())
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            ticks.cancel()
            self.subtasks.cancel()

    async def drain(self) -> None:
        """Wait until no call runs on the upstream; close the listener after the last response."""
        await self.subtasks.wait()
        await self.listener.close()
        # A call that arrived just before `Leaving` may run longer than its sender waits.
        await self.subtasks.wait()

    async def _handle_peer_request(self, request: Request) -> Response:
        call = decode_call(request, monotonic_ms())
        if call is None:
            return encode_result(not_run_result(Reason.BAD_REQUEST))
        ask: CallAsk = new_ask(call)
        self.mailbox.put(ask)
        result = await ask.reply
        # Makes peers drop their idle connections to a leaving daemon before it closes them.
        extra = (CONNECTION_CLOSE_HEADER,) if self.leaving else ()
        return encode_result(result, (LOAD_HEADER, self._load_header()), *extra)

    def _load_header(self) -> str:
        return f"{self.admission.running} {self.admission.waiting} {self.admission.slots}"

    def _handle(self, message: UpstreamMessage) -> None:
        now = monotonic_ms()
        match message:
            case UpstreamAnnounced(info, born):
                self._handle_lifetime(born)
                self._handle_announcement(info, now)
            case CallEnded(call_id, result):
                self.exchanges.pop(call_id, None)
                self.gate.call_ended(call_id)
                self._discard_death_report(call_id)
                self._answer(call_id, result)
                self._run_admission(CallFinished(call_id, _ending_of(result)), now)
            case CallCancelled(call_id):
                self.asks.pop(call_id, None)
                self._run_admission(message, now)
            case ConfigInForce(snapshot):
                self.snapshot = snapshot
                self._run_admission(self._class_policy(), now)
            case SuspectsChanged(suspects):
                self.gate.suspects_changed(suspects)
            case Leaving():
                self.leaving = True
                self._run_admission(DaemonLeaving(), now)
            case Tick():
                self._check_lease(now)
                self._run_admission(TimePassed(), now)
            case _:
                self._handle_call(message, now)

    def _handle_call(self, ask: CallAsk, now: Millis) -> None:
        call = ask.payload
        if ask.reply.cancelled():
            return
        if self.leaving:
            ask.answer(not_run_result(Reason.LEAVING))
        elif self.info is None or self.info.service != call.service:
            ask.answer(not_run_result(Reason.NO_UPSTREAM))
        elif any(call.call_id in rows for rows in (self.asks, self.exchanges, self.probing)):
            # An earlier attempt of the same call is still here; their answers must not be mixed up.
            ask.answer(not_run_result(Reason.TOO_MANY_CALLS))
        else:
            self.asks[call.call_id] = ask
            ask.reply.add_done_callback(lambda reply: self._on_reply_done(call.call_id, reply))
            self._run_admission(CallArrived(call), now)

    def _on_reply_done(self, call_id: CallId, reply: asyncio.Future[CallResult]) -> None:
        if reply.cancelled():
            self.mailbox.put(CallCancelled(call_id))

    def _handle_lifetime(self, born: int) -> None:
        """Count the death of an upstream that is back before this daemon noticed its end."""
        if born == self.born or not born:
            for call_id, lost in list(self.lost_calls.items()):
                lost.announcements += 1
                if lost.announcements >= ANNOUNCEMENTS_OF_LIVING_UPSTREAM:
                    del self.lost_calls[call_id]
            return
        was_known, self.born = bool(self.born), born
        self.restarted.set()
        self.restarted = asyncio.Event()
        lost_calls, self.lost_calls = self.lost_calls, {}
        if was_known and lost_calls:
            log_event("upstream_died", calls=len(lost_calls))
            self.deaths.put(
                new_ask(UpstreamDied(tuple(lost.in_flight for lost in lost_calls.values())))
            )

    def _handle_announcement(self, info: UpstreamInfo, now: Millis) -> None:
        self.lease_until = Millis(now + UPSTREAM_LEASE)
        if info == self.info:
            return
        log_event("upstream_changed", service=info.service, state=info.state.value)
        self.info = info
        self._run_admission(self._class_policy(), now)
        self._run_admission(CapacityAnnounced(info.slots, info.connections, info.state), now)
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
            self._run_admission(LeaseExpired(), now)
            self.members.put(UpstreamChanged(None))

    def _run_admission(self, message: AdmissionMessage, now: Millis) -> None:
        self._execute_actions(self.admission.handle(message, now))

    def _execute_actions(self, actions: Iterable[AdmissionAction]) -> None:
        for action in actions:
            match action:
                case StartCall(call):
                    self._start_call(call)
                case RefuseCall(call_id, reason):
                    self._answer(call_id, not_run_result(reason))
                case StopCall(call_id):
                    # A call that the gate refused has no exchange.
                    if call_id in self.exchanges:
                        self.exchanges[call_id].cancel()

    def _start_call(self, call: Call) -> None:
        fingerprint = fingerprint_of(call.service, call.request)
        refusal_reason = self.gate.refusal_reason(fingerprint)
        if refusal_reason is not None:
            self.mailbox.put(CallEnded(call.call_id, not_run_result(refusal_reason)))
            return
        assert self.info is not None
        in_flight = InFlightCall(fingerprint, call.request.path)
        self.gate.call_started(call.call_id, in_flight)
        exchange = self.subtasks.start(self._run_call(call, in_flight, self.info.address))
        self.exchanges[call.call_id] = exchange
        # A callback reports the end, because a cancelled exchange must free its slot too.
        exchange.add_done_callback(lambda ended: self._on_exchange_done(call.call_id, ended))

    def _on_exchange_done(self, call_id: CallId, exchange: asyncio.Task[CallResult]) -> None:
        result = unknown_result(Reason.CONNECTION_LOST)
        if not exchange.cancelled() and (error := exchange.exception()) is None:
            result = exchange.result()
        elif not exchange.cancelled():
            log_warning("exchange_failed", call_id=call_id, reason=repr(error))
        self.mailbox.put(CallEnded(call_id, result))

    def _answer(self, call_id: CallId, result: CallResult) -> None:
        ask = self.asks.pop(call_id, None)
        if ask is not None:
            ask.answer(result)

    async def _run_call(self, call: Call, in_flight: InFlightCall, address: Address) -> CallResult:
        left = Millis(max(1.0, call.deadline - monotonic_ms()))
        born = self.born
        headers = (
            *call.request.headers,
            *customer_header(call),
            (CALL_ID_HEADER, call.call_id),
            (DEADLINE_HEADER, f"{left:.1f}"),
        )
        request = Request(call.request.method, call.request.path, headers, call.request.body)
        result = await self._send_to_upstream(address, request, left)
        if result.reason is Reason.CONNECTION_LOST:
            self.probing[call.call_id] = in_flight
            # The check continues if the call is cancelled, as a hedged attempt is when the other
            # one ends: a death that is not counted lets the request crash one more upstream.
            await asyncio.shield(
                self.subtasks.start(self._check_for_death(call.call_id, address, born))
            )
        return result

    async def _check_for_death(self, call_id: CallId, address: Address, born: int) -> None:
        """Report the upstream's death, if it died, before the call is answered.

        `born` is the start of the upstream that had the call. A probe that comes late meets the
        upstream's next process, which only its start tells apart.
        """
        try:
            if await refuses_connections(address) or await self._was_restarted(born):
                await self._report_death(call_id)
            elif born:
                self.lost_calls[call_id] = LostCall(self.probing[call_id])
        finally:
            del self.probing[call_id]
            self._discard_death_report(call_id)

    async def _was_restarted(self, born: int) -> bool:
        if not born:
            return False
        if self.born == born:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(RESTART_HOLD_SECONDS):
                    await self.restarted.wait()
        return self.born != born

    def _discard_death_report(self, call_id: CallId) -> None:
        if call_id not in self.gate.running and call_id not in self.probing:
            self.death_reports.pop(call_id, None)

    async def _report_death(self, call_id: CallId) -> None:
        """Report a death once, with every call that was running; wait until peers are notified."""
        if call_id not in self.death_reports:
            running = {**self.gate.running, **self.probing}
            lost = {i: row for i, row in running.items() if i not in self.death_reports}
            ask: DeathAsk = new_ask(UpstreamDied(tuple(lost.values())))
            log_event("upstream_died", calls=len(lost))
            self.death_reports.update(dict.fromkeys(lost, ask))
            self.deaths.put(ask)
        await self.death_reports[call_id].reply

    async def _send_to_upstream(
        self, address: Address, request: Request, left: Millis
    ) -> CallResult:
        try:
            response = await self.client.send(address, request, left)
        except ExchangeError as error:
            return failed_exchange_result(error)
        if response.header(SHED_HEADER) == "not-run":
            return not_run_result(Reason.SHED)
        return ran_result(response)

    async def _send_ticks(self) -> None:
        while True:
            self.mailbox.put(Tick())
            await asyncio.sleep(TICK_SECONDS)


def _ending_of(result: CallResult) -> CallEnding:
    if result.outcome is Outcome.RAN or result.reason is Reason.TIMEOUT:
        return CallEnding.COMPLETED
    return CallEnding.SHED if result.reason is Reason.SHED else CallEnding.FAILED


async def refuses_connections(address: Address) -> bool:
    """Return whether the address refuses connections, as it does after its process has died."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    try:
        # A process that is exiting may still accept a connection but then closes it, while a live
        # one waits for a request.
        async with asyncio.timeout(CLOSE_PROBE_SECONDS):
            return await reader.read(1) == b""
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()
