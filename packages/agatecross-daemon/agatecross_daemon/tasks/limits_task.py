"""Owns the limits of customers: admits their calls, reports them, and answers as a home."""

import asyncio
import random
from collections.abc import Callable, Mapping
from typing import Protocol

from agatecross_core.customers.model import Customer
from agatecross_core.ids import CustomerName, DaemonId, HomeSlot, Millis
from agatecross_core.limits.gate import CustomerGate
from agatecross_core.limits.home import LimitChange, LimitHome
from agatecross_core.limits.model import LimitAnswer, LimitReport
from agatecross_core.limits.reporter import SendReport
from agatecross_core.pacing import TokenBucket

from ..client_limits import EventWriter
from ..direct_mailbox import DirectMailbox
from ..mailbox import Sender, monotonic_ms
from ..relay_messages import (
    CustomersInForce,
    LimitMessageReceived,
    PeersSeen,
    SendToPeer,
    TableInForce,
)

LimitsMessage = TableInForce | CustomersInForce | PeersSeen | LimitMessageReceived
TICK_SECONDS = 0.1
# Daemons whose directories differ in size divide the customers differently.
MAX_SLOTS = 64
LOG_BURST_LINES = 20
LOG_REFILL_INTERVAL = Millis(500)


class CustomerLimiter(Protocol):
    """Admits calls of customers."""

    def admit(self, customer: Customer) -> Millis | None:
        """Return None to admit a call, or the time after which its caller should come back."""
        ...

    def settle(self, customer: Customer, arrivals: int) -> None:
        """Tell at how many upstreams an admitted call arrived, now that it has ended."""
        ...


class LimitsTask:
    """Keeps what this daemon admits, and the use of the customers whose home it is."""

    def __init__(
        self,
        mailbox: DirectMailbox[LimitsMessage],
        daemon_id: DaemonId,
        peers: Sender[SendToPeer],
        rng: random.Random,
        write_change: EventWriter,
        set_limited_count: Callable[[float], None],
    ) -> None:
        mailbox.set_handler(self._handle)
        self.daemon_id = daemon_id
        self.peers = peers
        self.write_change = write_change
        self.set_limited_count = set_limited_count
        self.gate = CustomerGate(daemon_id, rng)
        self.homes: dict[HomeSlot, LimitHome] = {}
        self.log_limiter = TokenBucket(LOG_BURST_LINES, LOG_REFILL_INTERVAL)
        self.has_left = False

    def admit(self, customer: Customer) -> Millis | None:
        """Return None to admit a call, or the time after which its caller should come back."""
        return self.gate.admit(customer, monotonic_ms())

    def settle(self, customer: Customer, arrivals: int) -> None:
        """Tell at how many upstreams an admitted call arrived, now that it has ended."""
        self.gate.settle(customer, arrivals, monotonic_ms())

    async def run(self) -> None:
        """Send the reports that are due until cancelled."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            if not self.has_left:
                now = monotonic_ms()
                self._send(self.gate.tick(now), now)

    def leave(self) -> None:
        """Tell the homes that this daemon admits no more calls."""
        self.has_left = True
        now = monotonic_ms()
        self._send(self.gate.leave(now), now)

    def _handle(self, message: LimitsMessage) -> None:
        now = monotonic_ms()
        match message:
            case TableInForce(table):
                self._set_customers({} if table.customers is None else table.customers.customers)
            case CustomersInForce(customers):
                self._set_customers(customers)
            case PeersSeen(known, open_links, ended):
                self.gate.set_peers(known, open_links, ended, now)
            case LimitMessageReceived(LimitReport() as report, daemon_id, send_reply):
                self.gate.report_received(report.slot)
                answer = self._receive_report(report, daemon_id, now)
                if answer is not None:
                    send_reply(answer)
            case LimitMessageReceived(LimitAnswer() as answer, daemon_id, _):
                self.gate.receive(answer, daemon_id, now)

    def _set_customers(self, customers: Mapping[CustomerName, Customer]) -> None:
        self.gate.set_customers(customers)
        for home in self.homes.values():
            home.set_customers(customers)

    def _send(self, reports: list[SendReport], now: Millis) -> None:
        for row in reports:
            if row.home != self.daemon_id:
                self.peers.put(SendToPeer(row.home, row.report))
                continue
            answer = self._receive_report(row.report, self.daemon_id, now)
            if answer is not None:
                self.gate.receive(answer, self.daemon_id, now)

    def _receive_report(
        self, report: LimitReport, daemon_id: DaemonId, now: Millis
    ) -> LimitAnswer | None:
        """Return the answer of the home, or None without a configuration to answer from."""
        if self.gate.is_idle:
            return None
        home = self.homes.get(report.slot)
        if home is None:
            self.homes = {slot: row for slot, row in self.homes.items() if row.reporters}
            if len(self.homes) >= MAX_SLOTS:
                return None
            home = self.homes[report.slot] = LimitHome(report.slot, self.gate.fleet)
            home.set_customers(self.gate.customers)
        answer = home.receive(report, daemon_id, now)
        for other_id, pushed in home.take_pushes(now):
            if other_id == self.daemon_id:
                self.gate.receive(pushed, other_id, now)
            else:
                self.peers.put(SendToPeer(other_id, pushed))
        for change in home.take_changes():
            self._log_change(change, now)
        self.set_limited_count(sum(len(row.limited) for row in self.homes.values()))
        return answer

    def _log_change(self, change: LimitChange, now: Millis) -> None:
        if not self.log_limiter.take(now):
            return
        self.write_change(
            "customer_limited" if change.is_limited else "customer_unlimited",
            customer=change.customer.name,
            limit=change.customer.rate,
            burst=change.customer.burst,
            demand=round(change.demand, 1),
            share=round(change.share, 3),
            reporters=change.reporters,
            daemons=change.daemons,
        )
