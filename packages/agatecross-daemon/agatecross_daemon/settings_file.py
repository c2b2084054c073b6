"""Reads a settings file and validates its tables."""

from collections.abc import Iterator, Mapping
from pathlib import Path

from agatecross_adapters.toml_documents import decode_toml
from agatecross_core.config.check_table import check_table
from agatecross_core.config.documents import DecodedDocument, Document
from agatecross_core.config.schema import Key
from agatecross_core.errors import DocumentSyntaxError, SettingsError
from agatecross_core.findings import Finding
from agatecross_core.ids import DocumentName


def read_settings(path: Path) -> DecodedDocument:
    """Read and decode the file; raises `SettingsError` or `OSError`."""
    try:
        document = Document(DocumentName(str(path)), path.read_text(encoding="utf-8"))
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: not valid UTF-8") from error
    try:
        return decode_toml(document)
    except DocumentSyntaxError as error:
        raise SettingsError(str(error)) from error


def check_tables(
    decoded: DecodedDocument,
    top_level_keys: Mapping[str, Key],
    tables: Mapping[str, Mapping[str, Key]],
) -> Iterator[Finding]:
    """Yield the findings of the top level and of each table that is present."""
    yield from check_table(decoded.place, decoded.values, top_level_keys, ())
    for name, keys in tables.items():
        table = decoded.values.get(name)
        if isinstance(table, Mapping):
            yield from check_table(decoded.place, table, keys, (name,))
