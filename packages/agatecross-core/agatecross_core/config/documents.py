"""Configuration documents before and after decoding."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from ..findings import Place
from ..ids import DocumentName

BASE = DocumentName("base")

KeyPath = tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Document:
    """One configuration document as its author wrote it."""

    name: DocumentName
    text: str


@dataclass(frozen=True, slots=True)
class DecodedDocument:
    """Values of a document, and the line number of each key."""

    name: DocumentName
    values: Mapping[str, object]
    lines: Mapping[KeyPath, int]

    def place(self, path: KeyPath) -> Place:
        """Return the place of a key, or of its nearest enclosing table."""
        for end in range(len(path), 0, -1):
            if path[:end] in self.lines:
                return Place(self.name, self.lines[path[:end]], ".".join(path))
        return Place(self.name, 0, ".".join(path))


class DocumentDecoder(Protocol):
    """Decodes documents; raises `DocumentSyntaxError` if the text is malformed."""

    def __call__(self, document: Document) -> DecodedDocument:
        """Decode one document."""
        ...
