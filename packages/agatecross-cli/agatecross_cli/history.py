"""Folds the config stream from the log into versions, as daemons do."""

import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from agatecross_adapters.config_records import decode_page
from agatecross_adapters.protocols import LogService
from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.model import ConfigRecord, ConfigState, PublishRecord
from agatecross_core.constants import CONFIG_STREAM, LOG_PAGE_RECORDS
from agatecross_core.distribution.log_fold import LogFold, LogReplaced, RecordFolded, UnknownRules
from agatecross_core.errors import LogUnavailableError
from agatecross_core.findings import Finding
from agatecross_core.ids import Millis, Offset, PublishId
from agatecross_core.states import PublishVerdict

from .command import CommandError
from .exit_codes import ExitCode


@dataclass(frozen=True, slots=True)
class FoldedRecord:
    """A record with its offset, its verdict, its findings and the resulting state."""

    offset: Offset
    record: ConfigRecord | None
    verdict: PublishVerdict
    findings: tuple[Finding, ...]
    state: ConfigState


@dataclass(frozen=True, slots=True)
class History:
    """The records that the log still holds, oldest first, and the state after the newest."""

    rows: tuple[FoldedRecord, ...]
    state: ConfigState

    def find_publish(self, publish_id: PublishId) -> FoldedRecord | None:
        """Return the first publish with this id."""
        for row in self.rows:
            if isinstance(row.record, PublishRecord) and row.record.publish_id == publish_id:
                return row
        return None


async def read_history(log: LogService) -> History:
    """Return the history; raises `LogError` and `CommandError`."""
    rows = [row async for row in fold_stream(log)]
    return History(tuple(rows), rows[-1].state if rows else ConfigState())


async def fold_stream(log: LogService) -> AsyncIterator[FoldedRecord]:
    """Yield each record after folding it; raises `LogError` and `CommandError`."""
    fold = LogFold(decode_toml)
    while not fold.caught_up:
        start = fold.start()
        page = await log.read(CONFIG_STREAM, start, LOG_PAGE_RECORDS, Millis(0))
        for event in fold.page(decode_page(page, time.time() * 1000)):
            match event:
                case RecordFolded(entry, step):
                    state = step.state
                    yield FoldedRecord(
                        entry.offset, entry.record, step.verdict, step.findings, state
                    )
                case LogReplaced():
                    raise LogUnavailableError(
                        CONFIG_STREAM, "the log was replaced while it was read"
                    )
                case UnknownRules(offset, rules):
                    message = f"record {offset} needs rule set {rules}; this client is too old"
                    raise CommandError(ExitCode.UNKNOWN, message)
        if fold.position_lost and fold.start() >= page.end:
            message = "the log holds neither the first records nor a snapshot of them"
            raise CommandError(ExitCode.LOG_UNREACHABLE, message)
