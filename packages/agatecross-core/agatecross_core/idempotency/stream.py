"""Position in the claims stream, and whether records before it may have been missed."""

from collections.abc import Iterator
from enum import Enum

from ..constants import CLOCK_MARGIN, KEY_RETENTION
from ..ids import Offset
from .model import ClaimsRead, OffsetBatch


class Continuity(Enum):
    """How a page continues what was read before."""

    CONTINUOUS = "whole"
    EXPIRED = "expired"
    REPLACED = "replaced"


class StreamPosition:
    """Reads overlap by one record, which shows whether the stream is still the same one."""

    def __init__(self) -> None:
        """Start before the first record."""
        self.next = Offset(0)
        self.last_record_digest = ""

    def start(self) -> Offset:
        """Return the offset from which to read."""
        return Offset(self.next - 1) if self.last_record_digest else self.next

    def check(self, page: ClaimsRead) -> Continuity:
        """Compare a page, read from `start()`, with what was read before."""
        if page.end < self.next:
            return Continuity.REPLACED
        if page.first > self.start():
            nothing_new = page.end == self.next
            return (
                Continuity.CONTINUOUS
                if nothing_new or _missing_records_expired(page)
                else Continuity.EXPIRED
            )
        if not self.last_record_digest:
            return Continuity.CONTINUOUS
        same = page.records and page.records[0].digest == self.last_record_digest
        return Continuity.CONTINUOUS if same else Continuity.REPLACED

    def restart(self, page: ClaimsRead) -> None:
        """Continue at the oldest record that is left."""
        self.next = page.first
        self.last_record_digest = ""

    def advance(self, page: ClaimsRead) -> Iterator[OffsetBatch]:
        """Yield the records that were not read before."""
        for row in page.records:
            if row.offset >= self.next:
                self.next = Offset(row.offset + 1)
                self.last_record_digest = row.digest
                yield row


def _missing_records_expired(page: ClaimsRead) -> bool:
    # Everything before the first record that is left is older than that record.
    if not page.records or page.records[0].batch is None:
        return False
    return page.wall_ms - page.records[0].batch.at_ms > KEY_RETENTION + CLOCK_MARGIN
