"""Decides when a reader writes a snapshot to the config stream."""

import random

from ..constants import (
    FIRST_SNAPSHOT_DELAY,
    SNAPSHOT_AFTER_RECORDS,
    SNAPSHOT_MAX_AGE,
    SNAPSHOT_RANK_DELAY,
    SNAPSHOT_RETRY_DELAY,
)
from ..ids import Millis


class SnapshotSchedule:
    """Tracks the age of the newest snapshot of the stream and the number of records after it."""

    def __init__(
        self, rng: random.Random, snapshot_after_records: int = SNAPSHOT_AFTER_RECORDS
    ) -> None:
        """Start without a known snapshot."""
        self.rng = rng
        self.snapshot_after_records = snapshot_after_records
        self.records_since_snapshot = 0
        self.last_written_at: Millis | None = None
        self.next_write_at: Millis | None = None

    def count_record(self) -> None:
        """Count a record that is not a snapshot."""
        self.records_since_snapshot += 1

    def snapshot_read(self, now: Millis, age: Millis, records_since_snapshot: int) -> None:
        """Record that a snapshot was read.

        `records_since_snapshot` is the number of records between its state and itself.
        """
        self.records_since_snapshot = records_since_snapshot
        self.last_written_at = Millis(now - age)
        self.next_write_at = None

    def log_replaced(self) -> None:
        """Forget the newest snapshot of the previous log and the records after it."""
        self.records_since_snapshot = 0
        self.last_written_at = None
        self.next_write_at = None

    def is_due(self, now: Millis, rank: int, required: bool) -> bool:
        """Return whether to write a snapshot now, and set or clear the time of the next write.

        The delay grows with the rank of this reader.
        """
        if self.last_written_at is None:
            self.last_written_at = Millis(now - SNAPSHOT_MAX_AGE + FIRST_SNAPSHOT_DELAY)
        old = now - self.last_written_at >= SNAPSHOT_MAX_AGE
        if not (required or old or self.records_since_snapshot >= self.snapshot_after_records):
            self.next_write_at = None
            return False
        if self.next_write_at is None:
            delay = SNAPSHOT_RANK_DELAY * (rank + 0.5 * self.rng.random())
            self.next_write_at = Millis(now + delay)
        return now >= self.next_write_at

    def write_started(self, now: Millis) -> None:
        """Wait for the snapshot to appear in the stream before another one is written."""
        self.next_write_at = Millis(now + SNAPSHOT_RETRY_DELAY * (1 + self.rng.random()))
