"""Carries the limits of customers between daemons that know each other as members."""

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass

from agatecross_adapters.codec import ControlMessage
from agatecross_adapters.hop_messages import HopMessage
from agatecross_adapters.port_check import EndCheck
from agatecross_core.config.model import MeshConfig
from agatecross_core.ids import DaemonId, DataCentreName, Millis
from agatecross_core.limits.model import LimitAnswer, LimitReport
from agatecross_core.limits.presence import FleetPresence
from agatecross_core.limits.requests import UseReply, UseRequest
from agatecross_core.limits.usage import CustomerUsage, metric_rows
from agatecross_core.members.records import Member

from ..customer_view import list_customers
from ..direct_mailbox import DirectMailbox
from ..events import log_event
from ..mailbox import Ask, Mailbox, Sender, monotonic_ms
from ..messages import ConfigInForce, Leaving, ListCustomers, Tick, ViewChanged
from ..relay_messages import CustomersInForce, LimitMessageReceived, PeersSeen, SendToPeer
from ..telemetry import GaugeRow
from .control_task import ControlAsk, ReceivedAsk, send_control
from .limits_task import LimitsMessage, LimitsTask
from .subtasks import Subtasks

# An answer after this time tells nothing that the next one does not.
REPORT_TIMEOUT = Millis(500)
CHECK_SECONDS = 1.0
CHECK_TIMEOUT = Millis(500)

ListCustomersAsk = Ask[ListCustomers, tuple[CustomerUsage, ...]]


@dataclass(frozen=True, slots=True)
class ReportAnswered:
    """A report to a home ended; `reply` is None if no answer came."""

    home: DaemonId
    reply: ControlMessage | None


@dataclass(frozen=True, slots=True)
class ProcessEnded:
    """The process of a member has ended."""

    member: Member


FleetLimitsMessage = (
    ConfigInForce
    | ViewChanged
    | Leaving
    | Tick
    | ReceivedAsk
    | ListCustomersAsk
    | ReportAnswered
    | ProcessEnded
)


class FleetLimitsTask:
    """Turns control messages and the view of the members into those of the limits task.

    Without customers that have a limit, it sends nothing and checks no port.
    """

    def __init__(
        self,
        mailbox: Mailbox[FleetLimitsMessage],
        daemon_id: DaemonId,
        data_centre: DataCentreName,
        control: Sender[ControlAsk],
        end_check: EndCheck,
        rng: random.Random,
    ) -> None:
        self.mailbox = mailbox
        self.daemon_id = daemon_id
        self.data_centre = data_centre
        self.control = control
        self.end_check = end_check
        self.presence = FleetPresence(daemon_id)
        self.inbox: DirectMailbox[LimitsMessage] = DirectMailbox()
        self.outbox: DirectMailbox[SendToPeer] = DirectMailbox()
        self.outbox.set_handler(self._send_message)
        self.limited_customers = 0.0
        self.limits = LimitsTask(
            self.inbox, daemon_id, self.outbox, rng, log_event, self._set_limited_count
        )
        self.reports_sent = 0
        self.subtasks = Subtasks()

    async def run(self) -> None:
        """Serve until cancelled."""
        self.subtasks.start(self.limits.run())
        self.subtasks.start(self._send_ticks())
        try:
            while True:
                self._handle(await self.mailbox.get())
        finally:
            self.subtasks.cancel()

    def observe_rates(self) -> Iterable[GaugeRow]:
        """Yield the rates of the largest customers as rows of a metric."""
        for row in metric_rows(self.limits.gate, monotonic_ms()):
            customer = str(row.customer)
            yield row.offered_per_second, {"customer": customer, "calls": "offered"}
            yield row.admitted_per_second, {"customer": customer, "calls": "admitted"}

    def observe_limited(self) -> Iterable[GaugeRow]:
        """Yield the number of customers beyond their limit whose home this daemon is."""
        yield self.limited_customers, {}

    def _handle(self, message: FleetLimitsMessage) -> None:
        match message:
            case ConfigInForce(snapshot):
                self._set_config(snapshot)
            case ViewChanged(view):
                self.presence.update(view.members, monotonic_ms())
                self._tell_peers()
            case Tick():
                self._check_missing()
            case ReportAnswered(home, UseReply(LimitAnswer() as answer)):
                self.inbox.put(LimitMessageReceived(answer, home, _ignore))
            case ProcessEnded(member):
                if self.presence.process_ended(member):
                    log_event("member_ended", peer=member.daemon_id)
                    self._tell_peers()
            case Leaving():
                self.limits.leave()
            case Ask():
                self._handle_ask(message)
            case _:
                pass

    def _handle_ask(self, message: ReceivedAsk | ListCustomersAsk) -> None:
        match message.payload:
            case ListCustomers(customer):
                message.answer(list_customers(self.limits.gate, customer, monotonic_ms()))
            case received:
                message.answer(self._answer_report(received.message))

    def _set_config(self, snapshot: MeshConfig) -> None:
        site = snapshot.sites.get(self.data_centre)
        rows = site.customers if site is not None else ()
        self.inbox.put(CustomersInForce({customer.name: customer for customer, _ in rows}))

    def _tell_peers(self) -> None:
        presence = self.presence
        self.inbox.put(PeersSeen(presence.known, presence.reachable, presence.ended))

    def _send_message(self, message: SendToPeer) -> None:
        member = self.presence.members.get(message.daemon_id)
        if member is not None:
            match message.message:
                case LimitAnswer() as answer:
                    request = UseRequest(self.daemon_id, None, answer)
                case report:
                    self.reports_sent += 1
                    request = UseRequest(self.daemon_id, report)
            self.subtasks.start(self._exchange(member, request))

    async def _exchange(self, home: Member, request: UseRequest) -> None:
        reply = await send_control(self.control, home.control_address, request, REPORT_TIMEOUT)
        self.mailbox.put(ReportAnswered(home.daemon_id, reply))

    def _answer_report(self, message: ControlMessage) -> UseReply:
        replies: list[HopMessage] = []
        match message:
            case UseRequest(sender, LimitReport() as report):
                self.inbox.put(LimitMessageReceived(report, sender, replies.append))
            case UseRequest(sender, None, LimitAnswer() as answer):
                self.inbox.put(LimitMessageReceived(answer, sender, _ignore))
        answers = (row for row in replies if isinstance(row, LimitAnswer))
        return UseReply(next(answers, None))

    def _check_missing(self) -> None:
        if self.limits.gate.is_idle:
            return
        for member in self.presence.next_checks(monotonic_ms()):
            self.subtasks.start(self._check_member(member))

    async def _check_member(self, member: Member) -> None:
        if await self.end_check.has_ended(member.control_address, CHECK_TIMEOUT):
            self.mailbox.put(ProcessEnded(member))

    async def _send_ticks(self) -> None:
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            self.mailbox.put(Tick())

    def _set_limited_count(self, count: float) -> None:
        self.limited_customers = count


def _ignore(message: HopMessage) -> None:
    """Drop a reply: the answer of a home needs none."""
    del message
