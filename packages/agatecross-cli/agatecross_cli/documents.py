"""Reads the documents of a configuration folder: `base.toml` and `overlays/*.toml`."""

from collections.abc import Iterator
from pathlib import Path

from agatecross_core.config.model import BASE, Document
from agatecross_core.ids import DocumentName


def read_documents(folder: Path) -> Iterator[Document]:
    """Yield the base and the overlays in the order of their names; raises `OSError`."""
    yield Document(BASE, (folder / "base.toml").read_text(encoding="utf-8"))
    for path in sorted((folder / "overlays").glob("*.toml")):
        yield Document(DocumentName(path.stem), path.read_text(encoding="utf-8"))
