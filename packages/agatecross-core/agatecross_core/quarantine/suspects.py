"""Judges requests by the deaths of the upstreams that were running them."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ..constants import MAX_FINGERPRINTS, QUARANTINE_CRASH_COUNT, QUARANTINE_TIME
from ..ids import DaemonId, Fingerprint, Millis
from ..members.records import Clearance, Strike
from .report import CrashReport
from .strikes import Death

# No trial starts before runs that began elsewhere have ended and their deaths were reported here.
TRIAL_DELAY = Millis(3_000)
# Deaths that are kept for one request: as many as upstreams may die together.
MAX_DEATHS = 64
# Lifted strikes are remembered for as long as a peer may still report them.
CLEARED_PER_FINGERPRINT = 4


class Verdict(Enum):
    """Whether a request may run: like any other, as a trial, or not at all."""

    FREE = "free"
    TRIAL = "trial"
    REFUSED = "refused"


@dataclass(slots=True)
class SuspectRecord:
    """The deaths that count against a request, and whether its trial ended in one of them."""

    struck_at: Millis
    deaths: set[Death] = field(default_factory=set)
    condemned: bool = False


class SuspectTable:
    """Strikes of a limited number of requests; the oldest ones are evicted.

    Two deaths make a request a suspect: it is refused, except for one trial at a time. A trial that
    completes lifts the strikes, and one that ends in a death condemns the request.
    """

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        """Start without strikes."""
        self.max_fingerprints = max_fingerprints
        self.records: OrderedDict[Fingerprint, SuspectRecord] = OrderedDict()
        self.cleared: OrderedDict[tuple[Fingerprint, Death], Millis] = OrderedDict()

    def add(self, report: CrashReport, now: Millis) -> bool:
        """Apply a report, and return whether any of it is new."""
        self._expire(now)
        changed = self._add_strikes(report.strikes, now)
        for fingerprint in report.condemned:
            record = self.records.get(fingerprint)
            if record is not None and not record.condemned:
                record.condemned, record.struck_at, changed = True, now, True
                self.records.move_to_end(fingerprint)
        for clearance in report.clearances:
            changed |= self._apply_clearance(clearance, now)
        while len(self.records) > self.max_fingerprints:
            self.records.popitem(last=False)
        while len(self.cleared) > self.max_fingerprints * CLEARED_PER_FINGERPRINT:
            self.cleared.popitem(last=False)
        return changed

    def judge(self, fingerprint: Fingerprint, now: Millis) -> Verdict:
        """Return whether a request may run."""
        self._expire(now)
        record = self.records.get(fingerprint)
        if record is None:
            return Verdict.FREE
        if record.condemned:
            return Verdict.REFUSED
        if len(record.deaths) < QUARANTINE_CRASH_COUNT:
            return Verdict.FREE
        return Verdict.REFUSED if now - record.struck_at < TRIAL_DELAY else Verdict.TRIAL

    def struck_daemons(self, fingerprint: Fingerprint) -> frozenset[DaemonId]:
        """Return the daemons whose upstream died while it ran the request."""
        record = self.records.get(fingerprint)
        return frozenset(daemon_id for daemon_id, _ in record.deaths) if record else frozenset()

    def clearance(self, fingerprint: Fingerprint) -> CrashReport:
        """Return the report that lifts all strikes of a request, empty without strikes."""
        record = self.records.get(fingerprint)
        if record is None:
            return CrashReport()
        return CrashReport((), (), (Clearance(fingerprint, tuple(sorted(record.deaths))),))

    def snapshot(self, now: Millis) -> CrashReport:
        """Return all strikes and refusals in force, for a daemon that missed their reports."""
        self._expire(now)
        strikes = tuple(
            Strike(fingerprint, daemon_id, incarnation)
            for fingerprint, record in self.records.items()
            for daemon_id, incarnation in sorted(record.deaths)
        )
        return CrashReport(strikes, tuple(f for f, row in self.records.items() if row.condemned))

    def _add_strikes(self, strikes: Iterable[Strike], now: Millis) -> bool:
        changed = False
        for strike in strikes:
            death = (strike.daemon_id, strike.incarnation)
            if (strike.fingerprint, death) in self.cleared:
                continue
            record = self.records.setdefault(strike.fingerprint, SuspectRecord(now))
            # Whoever repeats a request that is refused anyway does not prolong the refusal.
            if death in record.deaths or record.condemned or len(record.deaths) >= MAX_DEATHS:
                continue
            record.deaths.add(death)
            record.struck_at = now
            self.records.move_to_end(strike.fingerprint)
            changed = True
        return changed

    def _apply_clearance(self, clearance: Clearance, now: Millis) -> bool:
        for death in clearance.deaths:
            self.cleared[clearance.fingerprint, death] = now
        record = self.records.get(clearance.fingerprint)
        if record is None or record.condemned:
            return False
        before = len(record.deaths)
        record.deaths -= set(clearance.deaths)
        if not record.deaths:
            del self.records[clearance.fingerprint]
        return len(record.deaths) < before

    def _expire(self, now: Millis) -> None:
        """Forget old strikes; a peer that received them later may still report them."""
        while self.records:
            fingerprint, record = next(iter(self.records.items()))
            if now - record.struck_at < QUARANTINE_TIME:
                break
            del self.records[fingerprint]
            self.cleared.update({(fingerprint, death): now for death in record.deaths})
        while self.cleared and now - next(iter(self.cleared.values())) >= QUARANTINE_TIME:
            self.cleared.popitem(last=False)
