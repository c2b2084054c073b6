"""The command `diff`: compares a configuration folder with the newest accepted version."""

import difflib
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from agatecross_core.config.documents import Document

from ..command import Command, Context, Result
from ..documents import read_documents
from ..exit_codes import ExitCode
from ..findings_output import document_path
from ..history import read_history


@dataclass(frozen=True, slots=True)
class DocumentDiff:
    """A document that differs: `added`, `removed` or `changed`, with unified diff lines."""

    file: str
    change: str
    lines: tuple[str, ...]


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Compare a folder with the newest accepted version on the log."""
    documents = tuple(read_documents(Path(arguments[0])))
    state = (await read_history(context.log)).state
    diffs = tuple(diff_documents(state.documents, documents))
    lines = [line for diff in diffs for line in diff.lines]
    if not diffs:
        lines = [f"no difference from version {state.version}"]
    return Result(ExitCode.SUCCESS, tuple(lines), {"version": state.version, "documents": diffs})


def diff_documents(old: Iterable[Document], new: Iterable[Document]) -> Iterator[DocumentDiff]:
    """Yield each document that differs."""
    before = {document.name: document.text for document in old}
    after = {document.name: document.text for document in new}
    for name in sorted(before.keys() | after.keys()):
        if before.get(name) == after.get(name):
            continue
        change = "changed"
        if name not in before or name not in after:
            change = "removed" if name in before else "added"
        file = document_path(name)
        rows = difflib.unified_diff(
            before.get(name, "").splitlines(),
            after.get(name, "").splitlines(),
            f"in-force/{file}",
            f"folder/{file}",
            lineterm="",
        )
        yield DocumentDiff(file, change, tuple(rows))


COMMAND = Command("diff FOLDER", 1, 1, run)
