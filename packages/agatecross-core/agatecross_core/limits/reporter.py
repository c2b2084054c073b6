"""The entry side of a slot: chooses the home, reports to it, and tracks the age of its answers."""

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from ..ids import ZERO_MS, CustomerName, DaemonId, HomeSlot, Millis, ReportNumber
from .homes import FleetSize, choose_home
from .model import CustomerUse, LimitAnswer, LimitReport, Standing, Timing, timing

# A new home has no counts of the use before it, so homes may not follow each other faster. While a
# fleet has two, a customer whose calls come in at one of them gets only that part of its limit.
HOME_STEADY_AFTER = Millis(2_500)
# Daemons that start together find each other within this time, and then have one home.
START_SPAN = Millis(2_000)
# A daemon that did not answer is not chosen again for so long.
AVOID_HOME_FOR = Millis(5_000)
# A new home has a demand from the second report on.
SETTLING_PERIOD = Millis(100)
# If daemons that start together reported together, demand would seem to go up and down.
REPORT_SPREAD = (0.7, 1.1)
# Comparing all daemons at each tick would cost a percent of a core at 1,300 daemons.
CHOICE_INTERVAL = Millis(250)


@dataclass(slots=True)
class Counts:
    """Calls of a customer since this daemon began to report to the home."""

    offered: int = 0
    admitted: int = 0
    used: int = 0


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to a home."""

    home: DaemonId
    report: LimitReport


@dataclass(slots=True)
class PeerLinks:
    """The daemons to which a report can be sent, with the times since when, and the ended ones."""

    me: DaemonId
    open_since: dict[DaemonId, Millis] = field(default_factory=dict)
    ended: frozenset[DaemonId] = frozenset()
    changed_at: Millis = ZERO_MS

    def update(
        self, open_links: frozenset[DaemonId], ended: frozenset[DaemonId], now: Millis
    ) -> None:
        """Use the open links, and the daemons whose process has ended."""
        before = self.open_since
        if open_links | {self.me} != self.open_since.keys():
            self.changed_at = now
        self.open_since = {i: before.get(i, now) for i in open_links | {self.me}}
        self.ended = ended


class SlotReporter:
    """Reports the calls of the customers of one slot."""

    def __init__(
        self,
        slot: HomeSlot,
        fleet: FleetSize,
        links: PeerLinks,
        rng: random.Random,
        now: Millis,
    ) -> None:
        """Start without a home."""
        self.rng = rng
        self.slot = slot
        self.fleet = fleet
        self.links = links
        self.counts: dict[CustomerName, Counts] = {}
        # Customers whose counts are in no report yet, and in none that was answered.
        self.unreported: set[CustomerName] = set()
        self.unanswered: set[CustomerName] = set()
        self.shares: dict[CustomerName, float] = {}
        self.home: DaemonId | None = None
        self.avoided: dict[DaemonId, Millis] = {}
        self.number = ReportNumber(0)
        self.reported_at = ZERO_MS
        self.spread = 1.0
        self.waiting_since: Millis | None = None
        self.answered_at: Millis | None = None
        # The last answer of a home that had settled.
        self.informed_at: Millis | None = None
        self.is_settling = False
        # Other daemons have chosen this one; the last tick at which they had reported to it.
        self.serves_others = False
        self.has_reports = False
        self.others_at = ZERO_MS
        self.created_at = self.chosen_at = now
        self.choice_due_at = now
        self.compared_at = ZERO_MS

    def standing(self, customer: CustomerName, now: Millis) -> Standing:
        """Return how current the share of a customer is."""
        times = timing(self.fleet.count(now))
        hold = times.limited_hold if customer in self.shares else times.free_hold
        if self.informed_at is None or now - self.informed_at > hold:
            return Standing.ALONE
        is_late = self.waiting_since is not None and now - self.waiting_since > times.answer_timeout
        return Standing.HOLDING if is_late or self.is_settling else Standing.INFORMED

    def note_report(self) -> None:
        """Note that another daemon reports to this one."""
        if not self.serves_others:
            self.compared_at = ZERO_MS
            self.avoided.pop(self.links.me, None)
        self.serves_others = self.has_reports = True

    def counts_of(self, customer: CustomerName) -> Counts:
        """Return the counts of a customer, which the caller changes."""
        self.unreported.add(customer)
        counts = self.counts.get(customer)
        if counts is None:
            counts = self.counts[customer] = Counts()
        return counts

    def inherit(self, other: "SlotReporter") -> None:
        """Keep the shares of a former reporter, for customers that are in this slot now."""
        self.shares |= other.shares
        if other.informed_at is not None:
            self.informed_at = max(other.informed_at, self.informed_at or ZERO_MS)

    def retain(self, customers: "frozenset[CustomerName]") -> None:
        """Forget the customers that a configuration no longer has."""
        self.counts = {name: row for name, row in self.counts.items() if name in customers}
        self.shares = {name: share for name, share in self.shares.items() if name in customers}
        self.unreported &= customers
        self.unanswered &= customers

    def tick(self, now: Millis) -> list[SendReport]:
        """Return the reports that are due."""
        times = timing(self.fleet.count(now))
        if self.has_reports:
            self.has_reports, self.others_at = False, now
        elif now - self.others_at > times.hold:
            self.serves_others = False
        sent = self._choose_home(times, now)
        if self.home is None:
            return sent
        interval = times.period if self.unreported else times.presence
        if self.is_settling:
            interval = SETTLING_PERIOD
        elif self.waiting_since is not None:
            # Otherwise four lost messages in a row would make this daemon leave a home that runs.
            interval = times.retry
        if self.number == 0 or now - self.reported_at >= self.spread * interval:
            sent.append(SendReport(self.home, self._new_report(False, now)))
        return sent

    def leave(self, now: Millis) -> list[SendReport]:
        """Return the last report, by which the home no longer counts on this daemon."""
        if self.home is None:
            return []
        return [SendReport(self.home, self._new_report(True, now))]

    def receive(self, answer: LimitAnswer, daemon: DaemonId, now: Millis) -> None:
        """Use an answer of the home."""
        if daemon != self.home or answer.number > self.number:
            return
        self.answered_at = now
        if answer.number == self.number:
            self.waiting_since = None
            self.unanswered.clear()
        if not answer.is_settling:
            self.shares = dict(answer.shares)
        if not answer.is_settling or self.informed_at is None:
            # After a start, a home that settles lets this daemon hold; its part alone would refuse
            # most calls of a fleet that starts again.
            self.informed_at = now
        self.is_settling = answer.is_settling

    def _new_report(self, is_last: bool, now: Millis) -> LimitReport:
        self.unanswered |= self.unreported
        self.unreported.clear()
        self.number = ReportNumber(self.number + 1)
        self.spread = self.rng.uniform(*REPORT_SPREAD)
        self.reported_at = now
        if self.waiting_since is None:
            self.waiting_since = now
        uses = tuple(
            CustomerUse(name, row.offered, row.admitted, row.used)
            for name, row in ((name, self.counts[name]) for name in sorted(self.unanswered))
        )
        return LimitReport(self.slot, self.number, is_last, uses)

    def _choose_home(self, times: Timing, now: Millis) -> list[SendReport]:
        home = self.home
        if home is not None and home not in self.links.ended and now < self.choice_due_at:
            return []
        self.choice_due_at = Millis(now + CHOICE_INTERVAL)
        if not self._may_choose_other(home, times, now):
            return []
        self.compared_at = now
        self.avoided = {i: until for i, until in self.avoided.items() if until > now}
        if home is not None and self._is_lost(home, times, now):
            self.avoided[home] = Millis(now + AVOID_HOME_FOR)
            home = None
        best = choose_home(self.slot, self._candidates(home, now)) or self.links.me
        if home is not None and home not in self.links.open_since:
            # The link may be back before the answer of the home expires.
            best = home
        if best == self.home:
            return []
        sent = self.leave(now) if home is not None else []
        self.home = best
        self.number, self.waiting_since, self.chosen_at = ReportNumber(0), None, now
        for row in self.counts.values():
            row.offered = row.admitted = row.used = 0
        self.unanswered.clear()
        return sent

    def _may_choose_other(self, home: DaemonId | None, times: Timing, now: Millis) -> bool:
        """Return whether another home may be the best one since the daemons were compared."""
        steady_at = max(self.links.changed_at, self.created_at) + HOME_STEADY_AFTER
        is_settled = self.compared_at > steady_at and not self.avoided
        return home is None or not is_settled or self._is_lost(home, times, now)

    def _candidates(self, home: DaemonId | None, now: Millis) -> Iterator[DaemonId]:
        is_starting = now - self.created_at < START_SPAN
        for daemon, since in self.links.open_since.items():
            is_steady = daemon == home or is_starting or now - since >= HOME_STEADY_AFTER
            if daemon == self.links.me:
                # A daemon that has just started joins the home of the others.
                is_candidate = self.serves_others or (is_steady and not is_starting)
            else:
                is_candidate = is_steady or home is None
            if is_candidate and daemon not in self.avoided:
                yield daemon

    def _is_lost(self, home: DaemonId, times: Timing, now: Millis) -> bool:
        if home in self.links.ended:
            return True
        alive_at = max(self.chosen_at, self.answered_at or ZERO_MS)
        if home == self.links.me and len(self.links.open_since) > 1:
            # After a pause or a cut, the other daemons have another home.
            alive_at = max(self.chosen_at, self.others_at)
        return now - alive_at > times.hold
