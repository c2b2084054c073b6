"""Position of a reader in the claims stream, and detection of missed records."""

from collections.abc import Iterator
from enum import Enum

from ..constants import IDEMPOTENCY_KEY_RETENTION, MAX_CLOCK_SKEW
from ..ids import Offset, StoreEra
from .model import ClaimsRead, OffsetBatch


class Continuity(Enum):
    """Whether a page follows the records read before, without a gap that may hide valid claims."""

    CONTINUOUS = "whole"
    EXPIRED = "expired"
    REPLACED = "replaced"


class StreamPosition:
    """Position of the next read; reads overlap by one record, to detect a replaced stream."""

    def __init__(self) -> None:
        """Start before the first record."""
        self.next_offset = Offset(0)
        self.last_record_digest = ""
        self.era: StoreEra | None = None

    def next_read_offset(self) -> Offset:
        """Return the offset from which to read."""
        return Offset(self.next_offset - 1) if self.last_record_digest else self.next_offset

    def check(self, page: ClaimsRead) -> Continuity:
        """Compare a page that was read from `next_read_offset()` with the records read before."""
        era, self.era = self.era, page.era
        if era not in (None, page.era):
            # Claims that this daemon has not read yet may be lost too.
            return Continuity.REPLACED
        if page.end < self.next_offset:
            return Continuity.REPLACED
        if page.first > self.next_read_offset():
            nothing_new = page.end == self.next_offset
            return (
                Continuity.CONTINUOUS
                if nothing_new or _missing_claims_past_retention(page)
                else Continuity.EXPIRED
            )
        if not self.last_record_digest:
            return Continuity.CONTINUOUS
        same = page.records and page.records[0].digest == self.last_record_digest
        return Continuity.CONTINUOUS if same else Continuity.REPLACED

    def restart(self, page: ClaimsRead) -> None:
        """Continue at the oldest record that is retained."""
        self.next_offset = page.first
        self.last_record_digest = ""

    def advance(self, page: ClaimsRead) -> Iterator[OffsetBatch]:
        """Yield the records of the page that are new, and move the position past them."""
        for row in page.records:
            if row.offset >= self.next_offset:
                self.next_offset = Offset(row.offset + 1)
                self.last_record_digest = row.digest
                yield row


def _missing_claims_past_retention(page: ClaimsRead) -> bool:
    # All missing records are older than the first retained record, whose age is checked here.
    if not page.records or page.records[0].batch is None:
        return False
    return page.wall_ms - page.records[0].batch.at_ms > IDEMPOTENCY_KEY_RETENTION + MAX_CLOCK_SKEW
