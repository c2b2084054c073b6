"""Strikes against fingerprints, and which fingerprints are quarantined."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from ..constants import MAX_FINGERPRINTS, QUARANTINE_CRASH_COUNT, QUARANTINE_TIME
from ..ids import DaemonId, Fingerprint, Incarnation, Millis
from ..members.records import Clearance, Strike
from .model import QuarantineRow

Death = tuple[DaemonId, Incarnation]
"""Daemon and incarnation of a `Strike`."""


@dataclass(slots=True)
class StrikeRecord:
    """Upstream deaths with this fingerprint in flight, and when the last one was counted."""

    struck_at: Millis
    deaths: set[Death] = field(default_factory=set)
    path: str = ""


class StrikeTable:
    """A limited number of fingerprints with strikes; the oldest ones are evicted."""

    def __init__(self, max_fingerprints: int = MAX_FINGERPRINTS) -> None:
        """Start without strikes."""
        self.max_fingerprints = max_fingerprints
        self.records: OrderedDict[Fingerprint, StrikeRecord] = OrderedDict()
        self.cleared: OrderedDict[tuple[Fingerprint, Death], Millis] = OrderedDict()

    def add_strikes(self, strikes: Iterable[Strike], now: Millis) -> bool:
        """Count strikes, and return whether any of them is new."""
        self._expire(now)
        self._expire_cleared(now)
        changed = False
        for strike in strikes:
            death = (strike.daemon_id, strike.incarnation)
            if (strike.fingerprint, death) in self.cleared:
                continue
            record = self.records.setdefault(strike.fingerprint, StrikeRecord(now))
            # A quarantine ends 10 minutes after it began, even if more deaths are reported later.
            if death in record.deaths or len(record.deaths) >= QUARANTINE_CRASH_COUNT:
                continue
            record.deaths.add(death)
            record.struck_at = now
            self.records.move_to_end(strike.fingerprint)
            changed = True
        while len(self.records) > self.max_fingerprints:
            self.records.popitem(last=False)
        return changed

    def apply_clearances(self, clearances: Iterable[Clearance], now: Millis) -> bool:
        """Remove the cleared strikes, and return whether there were any.

        The cleared deaths are retained, because a copy of a strike may arrive after its clearance.
        """
        changed = False
        for row in clearances:
            record = self.records.get(row.fingerprint)
            deaths = set(row.deaths) or (set(record.deaths) if record else set())
            for death in deaths:
                self.cleared[row.fingerprint, death] = now
            if record is not None and record.deaths & deaths:
                changed = True
                record.deaths -= deaths
                if not record.deaths:
                    del self.records[row.fingerprint]
        while len(self.cleared) > self.max_fingerprints * QUARANTINE_CRASH_COUNT:
            self.cleared.popitem(last=False)
        return changed

    def deaths(self, fingerprint: Fingerprint) -> tuple[Death, ...]:
        """Return the upstream deaths that count against a fingerprint."""
        record = self.records.get(fingerprint)
        return tuple(sorted(record.deaths)) if record else ()

    def suspected(self, fingerprint: Fingerprint, now: Millis) -> bool:
        """Return whether the fingerprint has strikes."""
        self._expire(now)
        return fingerprint in self.records

    def struck_daemons(self, fingerprint: Fingerprint) -> frozenset[DaemonId]:
        """Return the daemons whose upstream died with the request in flight."""
        record = self.records.get(fingerprint)
        return frozenset(daemon_id for daemon_id, _ in record.deaths) if record else frozenset()

    def quarantined(self, fingerprint: Fingerprint, now: Millis) -> bool:
        """Return whether requests with this fingerprint are refused."""
        self._expire(now)
        record = self.records.get(fingerprint)
        return record is not None and len(record.deaths) >= QUARANTINE_CRASH_COUNT

    def record_path(self, fingerprint: Fingerprint, path: str) -> None:
        """Record the path of a fingerprint, to show it to operators."""
        record = self.records.get(fingerprint)
        if record is not None:
            record.path = path

    def rows(self, now: Millis) -> Iterator[QuarantineRow]:
        """Yield the rows of the table, oldest first."""
        self._expire(now)
        for fingerprint, record in self.records.items():
            left_ms = Millis(record.struck_at + QUARANTINE_TIME - now)
            count = len(record.deaths)
            yield QuarantineRow(
                fingerprint, record.path, count, count >= QUARANTINE_CRASH_COUNT, left_ms
            )

    def _expire(self, now: Millis) -> None:
        while self.records:
            fingerprint, record = next(iter(self.records.items()))
            if now - record.struck_at < QUARANTINE_TIME:
                return
            del self.records[fingerprint]

    def _expire_cleared(self, now: Millis) -> None:
        while self.cleared:
            row, cleared_at = next(iter(self.cleared.items()))
            if now - cleared_at < QUARANTINE_TIME:
                return
            del self.cleared[row]
