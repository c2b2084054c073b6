"""First filter of the pipeline: decodes documents, or yields findings for invalid ones."""

from collections.abc import Iterable, Iterator

from ..constants import MAX_DOCUMENT_BYTES
from ..errors import DocumentSyntaxError
from ..findings import Finding, Place
from .documents import DecodedDocument, Document, DocumentDecoder

MAX_NESTING = 64
"""The decoder recurses at each level, and all readers must reject the same documents."""


def parse_documents(
    documents: Iterable[Document], decoder: DocumentDecoder
) -> Iterator[DecodedDocument | Finding]:
    """Yield each document decoded, or a finding if it is too long, too deep or malformed."""
    for document in documents:
        if len(document.text.encode()) > MAX_DOCUMENT_BYTES:
            message = f"document is longer than {MAX_DOCUMENT_BYTES} bytes"
            yield Finding(Place(document.name, 0, ""), "too-long", message)
            continue
        if _nesting(document.text) > MAX_NESTING:
            message = f"values are nested deeper than {MAX_NESTING} levels"
            yield Finding(Place(document.name, 0, ""), "too-deep", message)
            continue
        try:
            yield decoder(document)
        except DocumentSyntaxError as error:
            yield Finding(Place(document.name, error.line, ""), "syntax", error.reason)


def _nesting(text: str) -> int:
    """Return the highest number of open brackets, including those in strings and comments."""
    deepest = depth = 0
    for character in text:
        if character in "[{":
            depth += 1
            deepest = max(deepest, depth)
        elif character in "]}":
            depth = max(0, depth - 1)
    return deepest
