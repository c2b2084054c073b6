"""The command `log`: shows the records on the log with their verdicts."""

from collections.abc import Sequence
from dataclasses import dataclass

from agatecross_core.config.model import PublishRecord, SnapshotRecord

from ..command import Command, Context, Result
from ..exit_codes import ExitCode
from ..findings_output import FindingRow, finding_lines, finding_rows
from ..history import FoldedRecord, read_history


@dataclass(frozen=True, slots=True)
class LogRow:
    """One record; `version` is the version after it, `parent` the one that a publish changes."""

    offset: int
    kind: str
    verdict: str
    version: int
    parent: int | None = None
    publish_id: str = ""
    author: str = ""
    documents: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    findings: tuple[FindingRow, ...] = ()


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Show the records that the log still holds, oldest first."""
    del arguments
    rows = tuple(log_row(row) for row in (await read_history(context.log)).rows)
    lines = [line for row in rows for line in (_format_row(row), *finding_lines(row.findings))]
    return Result(ExitCode.SUCCESS, tuple(lines), {"records": rows})


def log_row(row: FoldedRecord) -> LogRow:
    """Return the output row of a folded record."""
    record, version = row.record, row.state.version
    if isinstance(record, SnapshotRecord):
        return LogRow(row.offset, "snapshot", row.verdict.value, record.version)
    if not isinstance(record, PublishRecord):
        return LogRow(row.offset, "undecodable", row.verdict.value, version)
    return LogRow(
        row.offset,
        "publish",
        row.verdict.value,
        version,
        record.parent,
        record.publish_id,
        record.author,
        tuple(document.name for document in record.documents),
        record.removed,
        finding_rows(row.findings),
    )


def _format_row(row: LogRow) -> str:
    if row.kind != "publish":
        return f"{row.offset} {row.kind} version {row.version}"
    removed = f" removed {','.join(row.removed)}" if row.removed else ""
    return (
        f"{row.offset} {row.kind} {row.verdict} version {row.version} parent {row.parent}"
        f" by {row.author or 'unknown'} id {row.publish_id}"
        f" documents {','.join(row.documents) or '-'}{removed}"
    )


COMMAND = Command("log", 0, 0, run)
