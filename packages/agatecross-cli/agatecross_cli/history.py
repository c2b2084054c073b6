"""Folds the config stream as far as it is on the log."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from agatecross_adapters.codec import decode_record
from agatecross_adapters.protocols import LogService
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.fold import fold
from agatecross_core.config.model import ConfigRecord, ConfigState, PublishRecord, SnapshotRecord
from agatecross_core.constants import CONFIG_STREAM, LOG_PAGE_RECORDS
from agatecross_core.errors import MessageDecodeError
from agatecross_core.findings import Finding
from agatecross_core.ids import Millis, Offset, PublishId
from agatecross_core.states import Verdict


@dataclass(frozen=True, slots=True)
class Folded:
    """A record with its offset, its verdict, its findings and the state after it."""

    offset: Offset
    record: ConfigRecord
    verdict: Verdict
    findings: tuple[Finding, ...]
    state: ConfigState


async def fold_stream(log: LogService) -> AsyncIterator[Folded]:
    """Yield each record of the config stream after folding it; raises `LogError`."""
    state = ConfigState()
    start = Offset(0)
    while True:
        page = await log.read(CONFIG_STREAM, start, LOG_PAGE_RECORDS, Millis(0))
        for entry in page.entries:
            start = Offset(entry.offset + 1)
            try:
                record = decode_record(entry.data, PublishRecord | SnapshotRecord)  # type: ignore[arg-type]
            except MessageDecodeError:
                continue
            step = fold(state, record, decode_toml)
            state = step.state
            yield Folded(entry.offset, record, step.verdict, step.findings, state)
        if not page.entries or start >= page.end:
            return


async def current_state(log: LogService) -> ConfigState:
    """Return the state after the newest record; raises `LogError`."""
    state = ConfigState()
    async for row in fold_stream(log):
        state = row.state
    return state


async def find_publish(log: LogService, publish_id: PublishId) -> Folded | None:
    """Return the first record with this publish id, if the log holds one; raises `LogError`."""
    async for row in fold_stream(log):
        if isinstance(row.record, PublishRecord) and row.record.publish_id == publish_id:
            return row
    return None
