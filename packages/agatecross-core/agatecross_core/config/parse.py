"""First filter: documents to decoded documents, or a finding for each that cannot be decoded."""

from collections.abc import Iterable, Iterator

from ..constants import MAX_DOCUMENT_BYTES
from ..errors import DocumentSyntaxError
from ..findings import Finding, Place
from .model import DecodedDocument, Document, DocumentDecoder


def parse(
    documents: Iterable[Document], decoder: DocumentDecoder
) -> Iterator[DecodedDocument | Finding]:
    """Decode each document."""
    for document in documents:
        if len(document.text.encode()) > MAX_DOCUMENT_BYTES:
            message = f"document is longer than {MAX_DOCUMENT_BYTES} bytes"
            yield Finding(Place(document.name, 0, ""), "too-long", message)
            continue
        try:
            yield decoder(document)
        except DocumentSyntaxError as error:
            yield Finding(Place(document.name, error.line, ""), "syntax", error.reason)
