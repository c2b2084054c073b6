"""Decides at the entry daemon whether a call of a customer is admitted."""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..customers.model import Customer
from ..ids import ZERO_MS, CustomerName, DaemonId, HomeSlot, Millis
from .homes import FleetSize, all_slots, home_count, slot_of
from .meters import DecayedRate
from .model import LimitAnswer, Standing
from .reporter import PeerLinks, SendReport, SlotReporter

RATE_SPAN = Millis(1_500)
# Growth over the calls admitted lately that a daemon allows itself while its home is silent.
HOLD_GROWTH = 1.5
# Most daemons see few calls of most customers, and these come at random.
HOLD_CALLS = 1.0
HOLD_DEPTH = Millis(500)
MIN_WAIT = Millis(50)
MAX_WAIT = Millis(2_000)
# Refused callers come back over this range of the time at which there is room.
WAIT_SPREAD = (1.0, 2.0)


@dataclass(slots=True)
class Account:
    """State of a customer at this daemon.

    `credit` is the part of a call that may be admitted. `steady` is the rate of admitted calls when
    the home last answered, so that a surge while it is silent gives no more room.
    `refused` counts calls since the daemon started.
    """

    credit: float
    tokens: float
    filled_at: Millis
    is_alone: bool = False
    steady: float = 0.0
    refused: int = 0
    offered: DecayedRate = field(default_factory=lambda: DecayedRate(RATE_SPAN))
    admitted: DecayedRate = field(default_factory=lambda: DecayedRate(RATE_SPAN))


class CustomerGate:
    """Admits the calls of customers, by the home's answers or by this daemon's part of a limit."""

    def __init__(self, me: DaemonId, rng: random.Random) -> None:
        """Start without customers and without peers."""
        self.rng = rng
        self.fleet = FleetSize(me)
        self.links = PeerLinks(me)
        self.customers: Mapping[CustomerName, Customer] = {}
        self.accounts: dict[CustomerName, Account] = {}
        self.reporters: dict[HomeSlot, SlotReporter] = {}
        self.homes = 0

    @property
    def is_idle(self) -> bool:
        """Return whether no customer has a limit."""
        return not self.customers

    def set_customers(self, customers: Mapping[CustomerName, Customer]) -> None:
        """Use the customers of a configuration."""
        self.customers = {name: row for name, row in customers.items() if row.is_limited}
        names = frozenset(self.customers)
        self.accounts = {name: row for name, row in self.accounts.items() if name in names}
        for reporter in self.reporters.values():
            reporter.retain(names)

    def set_peers(
        self,
        known: frozenset[DaemonId],
        open_links: frozenset[DaemonId],
        ended: frozenset[DaemonId],
        now: Millis,
    ) -> None:
        """Use the daemons in the directory, the reachable ones and those that have ended."""
        self.fleet.update(known, ended, now)
        self.links.update(open_links, ended, now)

    def tick(self, now: Millis) -> list[SendReport]:
        """Return the reports that are due."""
        sent: list[SendReport] = []
        if home_count(self.fleet.largest) != self.homes:
            sent = self.leave(now)
            self._divide(now)
        if not self.is_idle:
            for reporter in self.reporters.values():
                sent += reporter.tick(now)
        return sent

    def leave(self, now: Millis) -> list[SendReport]:
        """Return the last reports to all homes."""
        return [row for reporter in self.reporters.values() for row in reporter.leave(now)]

    def receive(self, answer: LimitAnswer, daemon: DaemonId, now: Millis) -> None:
        """Use an answer of a home."""
        reporter = self.reporters.get(answer.slot)
        if reporter is not None:
            reporter.receive(answer, daemon, now)

    def report_received(self, slot: HomeSlot) -> None:
        """Note that another daemon reports to this one."""
        reporter = self.reporters.get(slot)
        if reporter is not None:
            reporter.note_report()

    def admit(self, customer: Customer, now: Millis) -> Millis | None:
        """Count a call; return None if it is admitted, else the time to the next one with room."""
        if not customer.is_limited:
            return None
        reporter = self._reporter(customer.name, now)
        account = self._account(customer.name, now)
        counts = reporter.counts_of(customer.name)
        counts.offered += 1
        account.offered.add(1, now)
        wait = self._decide(customer, account, reporter, now)
        if wait is None:
            counts.admitted += 1
            counts.used += 1
            account.admitted.add(1, now)
            return None
        account.refused += 1
        wait *= self.rng.uniform(*WAIT_SPREAD)
        return Millis(min(MAX_WAIT, max(MIN_WAIT, wait)))

    def settle(self, customer: Customer, arrivals: int, now: Millis) -> None:
        """Correct the use of an admitted call, now that its arrivals at upstreams are known."""
        if customer.name in self.customers and arrivals != 1:
            self._reporter(customer.name, now).counts_of(customer.name).used += arrivals - 1

    def _divide(self, now: Millis) -> None:
        """Divide the customers among the homes for the present size of the fleet."""
        self.homes = home_count(self.fleet.largest)
        former = self.reporters.values()
        self.reporters = {
            slot: SlotReporter(slot, self.fleet, self.links, self.rng, now)
            for slot in all_slots(self.homes)
        }
        for reporter in self.reporters.values():
            for other in former:
                reporter.inherit(other)

    def _reporter(self, customer: CustomerName, now: Millis) -> SlotReporter:
        if not self.reporters:
            self._divide(now)
        return self.reporters[slot_of(customer, self.homes)]

    def _account(self, customer: CustomerName, now: Millis) -> Account:
        account = self.accounts.get(customer)
        if account is None:
            account = Account(self.rng.random(), HOLD_CALLS, now)
            self.accounts[customer] = account
        return account

    def _decide(
        self, customer: Customer, account: Account, reporter: SlotReporter, now: Millis
    ) -> float | None:
        """Return None to admit the call, or the expected time until the next one is admitted."""
        standing = reporter.standing(customer.name, now)
        if standing is Standing.INFORMED and reporter.waiting_since is None:
            account.steady = account.admitted.rate(now)
        share = reporter.shares.get(customer.name, 1.0)
        has_token, token_wait = self._refill(customer, account, standing, share < 1.0, now)
        if standing is Standing.ALONE:
            if not has_token:
                return token_wait
            account.tokens -= 1.0
            return None
        account.credit = min(1.0, account.credit) + share if share < 1.0 else account.credit
        if share < 1.0 and account.credit < 1.0:
            rate = account.offered.rate(now) * share
            return (1.0 - account.credit) / rate * 1000 if rate > 0 else MAX_WAIT
        if standing is Standing.HOLDING and not has_token:
            return token_wait
        if share < 1.0:
            account.credit -= 1.0
        account.tokens = max(0.0, account.tokens - 1.0)
        return None

    def _refill(
        self,
        customer: Customer,
        account: Account,
        standing: Standing,
        is_limited: bool,
        now: Millis,
    ) -> tuple[bool, float]:
        """Add the tokens of the time since the last call.

        Return whether one is there, and the time until the next.
        """
        daemons = self.fleet.count(now)
        rate, depth = customer.rate / daemons, max(1.0, customer.burst / daemons)
        if standing is not Standing.ALONE:
            rate = max(rate, (1.0 if is_limited else HOLD_GROWTH) * account.steady)
            depth += rate * HOLD_DEPTH / 1000 + (0.0 if is_limited else HOLD_CALLS)
        if (standing is Standing.ALONE) != account.is_alone:
            account.is_alone = not account.is_alone
            # A random start, as all daemons together may admit no more than their parts.
            account.tokens = self.rng.random() if account.is_alone else HOLD_CALLS
        gained = rate * max(ZERO_MS, now - account.filled_at) / 1000
        account.tokens = min(depth, account.tokens + gained)
        account.filled_at = now
        return account.tokens >= 1.0, (1.0 - account.tokens) / rate * 1000
