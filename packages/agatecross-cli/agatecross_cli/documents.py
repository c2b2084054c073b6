"""Reads the documents of a configuration folder: `base.toml` and `overlays/*.toml`."""

from collections.abc import Iterator
from pathlib import Path

from agatecross_core.config.documents import BASE, Document
from agatecross_core.ids import DocumentName

from .command import CommandError
from .exit_codes import ExitCode


def read_documents(folder: Path) -> Iterator[Document]:
    """Yield the base, then the overlays sorted by name; raises `CommandError`."""
    yield Document(BASE, _read_text(folder / "base.toml"))
    for path in sorted((folder / "overlays").glob("*.toml")):
        if path.stem == BASE:
            raise CommandError(ExitCode.FINDINGS, f"{path}:0: an overlay cannot be named {BASE!r}")
        yield Document(DocumentName(path.stem), _read_text(path))


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except UnicodeDecodeError as error:
        line = path.read_bytes()[: error.start].count(b"\n") + 1
        raise CommandError(ExitCode.FINDINGS, f"{path}:{line}: not valid UTF-8") from error
    except OSError as error:
        raise CommandError(ExitCode.USAGE, f"{path}: {error.strerror}") from error
