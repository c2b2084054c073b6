"""The home of customers: counts their use over the fleet and decides which share is admitted."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from itertools import chain, islice

from ..constants import MAX_MEMBERS
from ..customers.model import Customer
from ..ids import ZERO_MS, CustomerName, DaemonId, HomeSlot, Millis, ReportNumber
from .homes import FleetSize
from .meters import DecayedRate, DemandMeter
from .model import WINDOW, CustomerUse, LimitAnswer, LimitReport, timing

# Part of the rate that is given out for a window after daemons were lost or came, as the calls
# that they admitted elsewhere are in no report.
CAREFUL_MARGIN = 0.9
MAX_CHANGE = 0.1
# Calls on top of the burst, for customers with a few calls a second; a slack of 20 is allowed.
EXTRA_BURST = 7.0
# Time over which a surplus or a debt of tokens is evened out.
RECOVERY = Millis(1_000)
# Tokens that are kept for errors, as the time in which they come in.
RESERVE = Millis(300)
SETTLING = Millis(450)
# When the part of the fleet that reports here grows faster, most use is not reported yet.
MAX_GROWTH = 2.0
PART_SPAN = Millis(1_000)
REFRESH_INTERVAL = Millis(20)
RUN_SHARE_SPAN = Millis(1_000)
# Share of the admitted calls that reach an upstream, below which refusals there give no more room.
MIN_RUN_SHARE = 0.25
MAX_RUN_SHARE = 1.25
# A customer that was not limited for so long ceases to be.
CALM_TIME = Millis(1_000)
MAX_SHARES = 1_024
# Calls beyond the rate, as a part of a window and as a number, that may pass until each daemon has
# reported again; with more, it gets an answer before.
URGENT_PART = 0.05
URGENT_CALLS = 10.0
# Such answers for each report that comes in, so that they do not hold up others.
PUSHES_PER_REPORT = 4


@dataclass(slots=True)
class Reporter:
    """State of a daemon that reports to this home.

    With `is_joined`, its counts began before its first report here, and those of customers that
    this report did not have are unknown.
    """

    number: ReportNumber
    reported_at: Millis
    counts: dict[CustomerName, CustomerUse] = field(default_factory=dict)
    is_joined: bool = False


class Pool:
    """Calls that a customer may still make, and its demand."""

    def __init__(self, since: Millis, now: Millis) -> None:
        """Start without tokens at `since`: another home may have given them out before."""
        self.tokens = 0.0
        self.filled_at = since
        self.demand = DemandMeter(since)
        self.admitted = DecayedRate(RUN_SHARE_SPAN, at=now)
        self.used = DecayedRate(RUN_SHARE_SPAN, at=now)
        self.share = 1.0
        self.limited_at: Millis | None = None

    def add(self, offered: int, admitted: int, used: int, now: Millis) -> None:
        """Count the calls of a report."""
        self.demand.add(offered, now)
        self.admitted.add(admitted, now)
        self.used.add(used, now)
        self.tokens -= used

    def refresh(self, customer: Customer, margin: float, part: float, now: Millis) -> None:
        """Set the share to admit, for a home that answers for this part of the fleet."""
        rate = customer.rate * margin * part
        depth = (customer.burst + EXTRA_BURST) * part
        self.tokens = min(depth, self.tokens + rate * (now - self.filled_at) / 1000)
        self.filled_at = now
        admitted = self.admitted.rate(now)
        run_share = self.used.rate(now) / admitted if admitted > 0 else 1.0
        demand = self.demand.rate(now) * min(MAX_RUN_SHARE, max(MIN_RUN_SHARE, run_share))
        reserve = min(depth / 2, rate * RESERVE / 1000)
        room = rate + (self.tokens - reserve) / RECOVERY * 1000
        self.share = 1.0 if demand <= room else max(0.0, room) / max(demand, 1e-3)
        if self.share < 1.0:
            self.limited_at = now


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A customer begins or ceases to be limited: its demand, and who reports of how many."""

    customer: Customer
    is_limited: bool
    demand: float
    share: float
    reporters: int
    daemons: int


class LimitHome:
    """Answers the reports of a slot."""

    def __init__(self, slot: HomeSlot, fleet: FleetSize) -> None:
        """Start without reports."""
        self.slot = slot
        self.fleet = fleet
        self.customers: Mapping[CustomerName, Customer] = {}
        self.reporters: dict[DaemonId, Reporter] = {}
        # Daemons that were given up; the counts in their reports go on where these end.
        self.silent: dict[DaemonId, Reporter] = {}
        self.pools: dict[CustomerName, Pool] = {}
        self.touched: set[CustomerName] = set()
        self.limited: set[CustomerName] = set()
        self.begun_at = ZERO_MS
        self.careful_until = ZERO_MS
        # The part of the fleet that reports here, followed slowly.
        self.part = 0.0
        # The number of daemons that report here, followed slowly.
        self.level = 0.0
        self.refreshed_at = ZERO_MS
        self.shares: tuple[tuple[CustomerName, float], ...] = ()
        self.changes: list[LimitChange] = []
        # Shares that all daemons were told at a surge, and the daemons that are still to be told.
        self.told: dict[CustomerName, float] = {}
        self.to_push: dict[DaemonId, None] = {}

    def set_customers(self, customers: Mapping[CustomerName, Customer]) -> None:
        """Use the customers of a configuration; those without a limit are not counted."""
        self.customers = {name: row for name, row in customers.items() if row.is_limited}
        self.pools = {name: pool for name, pool in self.pools.items() if name in self.customers}
        self.touched &= self.customers.keys()
        self.limited &= self.customers.keys()
        for reporter in chain(self.reporters.values(), self.silent.values()):
            reporter.counts = {
                name: use for name, use in reporter.counts.items() if name in self.customers
            }

    def receive(self, report: LimitReport, daemon: DaemonId, now: Millis) -> LimitAnswer | None:
        """Count a report and return the answer, or None if it needs none."""
        self._forget_silent(now)
        if not self.reporters:
            self._begin(now)
        reporter = self._reporter(report, daemon, now)
        if reporter is None:
            return None
        for use in report.uses:
            self._count(reporter, use, now)
        if report.is_last:
            del self.reporters[daemon]
            return None
        self._refresh(now)
        self.to_push.pop(daemon, None)
        return self._answer(report.number, now)

    def take_pushes(self, now: Millis) -> list[tuple[DaemonId, LimitAnswer]]:
        """Return answers to daemons whose next report would come too late for a surge."""
        taken = list(islice(self.to_push, PUSHES_PER_REPORT))
        for daemon in taken:
            del self.to_push[daemon]
        return [
            (daemon, self._answer(self.reporters[daemon].number, now))
            for daemon in taken
            if daemon in self.reporters
        ]

    def _answer(self, number: ReportNumber, now: Millis) -> LimitAnswer:
        is_settling = now - self.begun_at < SETTLING
        return LimitAnswer(self.slot, number, is_settling, () if is_settling else self.shares)

    def _is_urgent(self, name: CustomerName, now: Millis) -> bool:
        """Return whether too many calls would pass until all daemons have reported again."""
        rate, pool, told = self.customers[name].rate, self.pools[name], self.told.get(name, 1.0)
        excess = (pool.demand.rate(now) * told - rate) / 1000 * timing(self.fleet.count(now)).period
        is_large = (
            excess - max(0.0, pool.tokens) > URGENT_PART * rate * WINDOW / 1000 + URGENT_CALLS
        )
        return is_large and pool.share < told

    def _plan_pushes(self, now: Millis) -> None:
        """Answer all daemons soon if too many calls of a customer pass with what they were told."""
        self.told = {name: share for name, share in self.told.items() if name in self.limited}
        surged = {
            name: self.pools[name].share for name in self.limited if self._is_urgent(name, now)
        }
        if surged:
            self.told |= surged
            self.to_push = dict.fromkeys(self.reporters)

    def _begin(self, now: Millis) -> None:
        """Forget the use so far: most of the fleet used another home until now."""
        self.begun_at = now
        self.careful_until = Millis(now + WINDOW)
        self.part = 0.0
        self.pools.clear()
        self.touched.clear()
        self.limited.clear()
        self.shares = ()

    def _reporter(self, report: LimitReport, daemon: DaemonId, now: Millis) -> Reporter | None:
        reporter = self.reporters.get(daemon)
        if reporter is not None and 1 < report.number <= reporter.number:
            return None
        if reporter is None or report.number == 1:
            reporter = self.reporters[daemon] = self._join(report, daemon, now)
        reporter.number, reporter.reported_at = report.number, now
        return reporter

    def _join(self, report: LimitReport, daemon: DaemonId, now: Millis) -> Reporter:
        """Return the state of a daemon that did not report until now."""
        before = self.silent.pop(daemon, None)
        if report.number == 1:
            return Reporter(report.number, now)
        # Calls of the time before were admitted by the daemon's part of the limit.
        counts = {use.customer: use for use in report.uses}
        if before is not None and before.number < report.number:
            return Reporter(report.number, now, before.counts | counts, before.is_joined)
        return Reporter(report.number, now, counts, before is None)

    def _count(self, reporter: Reporter, use: CustomerUse, now: Millis) -> None:
        if use.customer not in self.customers:
            return
        before = reporter.counts.get(use.customer)
        reporter.counts[use.customer] = use
        if before is None:
            before = use if reporter.is_joined else CustomerUse(use.customer, 0, 0, 0)
        pool = self.pools.get(use.customer)
        if pool is None:
            pool = self.pools[use.customer] = Pool(self.begun_at, now)
        pool.add(
            use.offered - before.offered,
            use.admitted - before.admitted,
            use.used - before.used,
            now,
        )
        self.touched.add(use.customer)

    def take_changes(self) -> list[LimitChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def _note_change(self, name: CustomerName, pool: Pool, is_limited: bool, now: Millis) -> None:
        if is_limited:
            self.limited.add(name)
        else:
            self.limited.discard(name)
        self.changes.append(
            LimitChange(
                self.customers[name],
                is_limited,
                pool.demand.rate(now),
                pool.share,
                len(self.reporters),
                self.fleet.count(now),
            )
        )

    def _forget_silent(self, now: Millis) -> None:
        if now - self.refreshed_at < REFRESH_INTERVAL:
            return
        hold = timing(self.fleet.count(now)).hold
        silent = [i for i, row in self.reporters.items() if now - row.reported_at > hold]
        for daemon in silent:
            self.silent[daemon] = self.reporters.pop(daemon)
        while len(self.silent) > MAX_MEMBERS:
            del self.silent[next(iter(self.silent))]

    def _refresh(self, now: Millis) -> None:
        if now - self.refreshed_at < REFRESH_INTERVAL:
            return
        passed, self.refreshed_at = now - self.refreshed_at, now
        # A daemon that has just started counts at once: until it reports, it admits its own part.
        part = min(1.0, len(self.reporters) / self.fleet.count(now))
        if now - self.begun_at < SETTLING:
            self.part = part
        elif part > MAX_GROWTH * self.part:
            self._begin(now)
        else:
            self.part += (part - self.part) * min(1.0, passed / PART_SPAN)
        self.level += (len(self.reporters) - self.level) * min(1.0, passed / PART_SPAN)
        if abs(len(self.reporters) - self.level) > MAX_CHANGE * self.level:
            self.careful_until = Millis(now + WINDOW)
        margin = CAREFUL_MARGIN if now < self.careful_until else 1.0
        for name in self.touched | self.limited:
            pool = self.pools[name]
            pool.refresh(self.customers[name], margin, part, now)
            is_calm = pool.limited_at is None or now - pool.limited_at > CALM_TIME
            if is_calm == (name in self.limited):
                self._note_change(name, pool, not is_calm, now)
        self.touched.clear()
        rows = [(name, self.pools[name].share) for name in self.limited]
        self.shares = tuple(sorted((row for row in rows if row[1] < 1.0), key=_by_share))[
            :MAX_SHARES
        ]
        if now - self.begun_at >= SETTLING:
            self._plan_pushes(now)


def _by_share(row: tuple[CustomerName, float]) -> float:
    return row[1]
