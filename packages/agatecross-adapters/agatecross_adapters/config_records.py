"""Decoding of pages of the configuration stream."""

import hashlib
from collections.abc import Iterator

from agatecross_core.config.model import OffsetRecord, PublishRecord, SnapshotRecord
from agatecross_core.distribution.log_fold import RecordsRead
from agatecross_core.errors import MessageDecodeError
from agatecross_core.ids import Digest, Millis

from .codec import decode_record
from .protocols import LogPage


def decode_page(page: LogPage, wall_ms: float) -> RecordsRead:
    """Decode a page; `wall_ms` is the wall-clock time from which the age of snapshots counts."""
    return RecordsRead(tuple(_decode_entries(page, wall_ms)), page.first, page.end, page.era)


def _decode_entries(page: LogPage, wall_ms: float) -> Iterator[OffsetRecord]:
    for entry in page.entries:
        mark = Digest(hashlib.blake2b(entry.data, digest_size=16).hexdigest())
        try:
            record = decode_record(entry.data, PublishRecord | SnapshotRecord)  # type: ignore[arg-type]
        except MessageDecodeError:
            yield OffsetRecord(entry.offset, None, mark)
            continue
        written_ms = record.at_ms if isinstance(record, SnapshotRecord) else wall_ms
        yield OffsetRecord(entry.offset, record, mark, Millis(max(0.0, wall_ms - written_ms)))
