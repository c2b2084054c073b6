"""Reads a settings file."""

from pathlib import Path

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.model import DecodedDocument, Document
from agatecross_core.errors import DocumentSyntaxError, SettingsError
from agatecross_core.ids import DocumentName


def read_settings(path: Path) -> DecodedDocument:
    """Return the decoded file; raises `SettingsError` or `OSError`."""
    try:
        document = Document(DocumentName(str(path)), path.read_text(encoding="utf-8"))
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not UTF-8") from error
    try:
        return decode_toml(document)
    except DocumentSyntaxError as error:
        raise SettingsError(str(error)) from error
