"""Output of findings, with the file of each document."""

from collections.abc import Iterable
from dataclasses import dataclass

from agatecross_core.config.documents import BASE
from agatecross_core.findings import Finding

from .command import Result
from .exit_codes import ExitCode


@dataclass(frozen=True, slots=True)
class FindingRow:
    """A finding for output; `line` is 0 and `key` empty if it concerns the whole file."""

    file: str
    line: int
    key: str
    code: str
    message: str


def finding_rows(findings: Iterable[Finding]) -> tuple[FindingRow, ...]:
    """Return the findings as output rows."""
    return tuple(
        FindingRow(document_path(f.place.document), f.place.line, f.place.key, f.code, f.message)
        for f in findings
    )


def document_path(document: str) -> str:
    """Return the path of a document relative to its configuration folder."""
    return "base.toml" if document == BASE else f"overlays/{document}.toml"


def finding_lines(rows: Iterable[FindingRow]) -> tuple[str, ...]:
    """Return one line for each finding."""
    return tuple(f"{r.file}:{r.line}: {r.key}: {r.message} [{r.code}]" for r in rows)


def findings_result(findings: Iterable[Finding]) -> Result:
    """Return the result of a command that failed because of findings."""
    rows = finding_rows(findings)
    return Result(ExitCode.FINDINGS, finding_lines(rows), {"findings": rows})
