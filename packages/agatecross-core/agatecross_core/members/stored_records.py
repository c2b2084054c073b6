"""Tracks which records of this daemon the platform's store may have lost."""

from enum import Enum

from ..ids import StoreEra


class StoredRecord(Enum):
    """A record in the store that only this daemon writes.

    `DRAIN` outlives a restart of the daemon, `ANNOUNCEMENT` is replaced by it.
    """

    DRAIN = "drain"
    ANNOUNCEMENT = "announcement"


class StoredRecords:
    """Holds the era in which each record was written, and the records to write again.

    A store that comes back from an older copy lost what was written after that copy was made. When
    that was is not known, so every record of an earlier era counts as missing.
    """

    def __init__(self) -> None:
        """Start before the first record is written."""
        self.written: dict[StoredRecord, StoreEra | None] = {}
        self.missing: set[StoredRecord] = set()

    def record_written(self, record: StoredRecord, era: StoreEra | None) -> None:
        """Record that the store confirmed a record in an era."""
        self.written[record] = era
        self.missing.discard(record)

    def store_restored(self, era: StoreEra) -> None:
        """Count the records of other eras as missing, because the store's present era is `era`."""
        self.missing |= {record for record, written in self.written.items() if written != era}

    def all_missing(self) -> None:
        """Count every record as missing: the store may be one that has never held them."""
        self.missing |= self.written.keys()

    def drop(self, record: StoredRecord) -> None:
        """Stop keeping a record in the store."""
        self.written.pop(record, None)
        self.missing.discard(record)
