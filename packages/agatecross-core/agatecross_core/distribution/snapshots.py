"""Decides when a reader writes a snapshot to the config stream."""

import random

from ..constants import (
    SNAPSHOT_AFTER_RECORDS,
    SNAPSHOT_FIRST_AGE,
    SNAPSHOT_MAX_AGE,
    SNAPSHOT_RANK_DELAY,
    SNAPSHOT_RETRY,
)
from ..ids import Millis


class SnapshotSchedule:
    """Tracks the newest snapshot of the stream by age and by the records after it."""

    def __init__(self, rng: random.Random, after_records: int = SNAPSHOT_AFTER_RECORDS) -> None:
        """Start without knowledge of a snapshot."""
        self.rng = rng
        self.after_records = after_records
        self.records_since_snapshot = 0
        self.written_at: Millis | None = None
        self.write_at: Millis | None = None

    def record_read(self) -> None:
        """Count a record that is no snapshot."""
        self.records_since_snapshot += 1

    def snapshot_read(self, now: Millis, age: Millis, records_since_snapshot: int) -> None:
        """Take a snapshot of the stream into account; `records` lie between it and its state."""
        self.records_since_snapshot = records_since_snapshot
        self.written_at = Millis(now - age)
        self.write_at = None

    def log_replaced(self) -> None:
        """Forget the snapshots of the log that is gone."""
        self.records_since_snapshot = 0
        self.written_at = None
        self.write_at = None

    def is_due(self, now: Millis, rank: int, required: bool) -> bool:
        """Return whether to write now; the delay grows with the rank among the readers."""
        if self.written_at is None:
            self.written_at = Millis(now - SNAPSHOT_MAX_AGE + SNAPSHOT_FIRST_AGE)
        old = now - self.written_at >= SNAPSHOT_MAX_AGE
        if not (required or old or self.records_since_snapshot >= self.after_records):
            self.write_at = None
            return False
        if self.write_at is None:
            delay = SNAPSHOT_RANK_DELAY * (rank + 0.5 * self.rng.random())
            self.write_at = Millis(now + delay)
        return now >= self.write_at

    def write_started(self, now: Millis) -> None:
        """Wait for the snapshot to appear in the stream before another one is written."""
        self.write_at = Millis(now + SNAPSHOT_RETRY * (1 + self.rng.random()))
