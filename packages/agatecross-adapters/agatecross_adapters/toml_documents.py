"""Decoding of TOML documents, with the line number of each key."""

import re
import tomllib
from collections.abc import Iterator

from agatecross_core.config.documents import DecodedDocument, Document, KeyPath
from agatecross_core.errors import DocumentSyntaxError

TABLE_HEADER = re.compile(r"^\s*\[+\s*(?P<key>[^\]]+?)\s*\]+")
KEY_ASSIGNMENT = re.compile(
    r"""^\s*(?P<key>(?:[A-Za-z0-9_-]+|"[^"]*"|'[^']*')(?:\s*\.\s*[^=\s]+)*)\s*="""
)
KEY_PART = re.compile(r"""[A-Za-z0-9_-]+|"[^"]*"|'[^']*'""")
LINE_NUMBER = re.compile(r"at line (\d+)")


def decode_toml(document: Document) -> DecodedDocument:
    """Decode one document; raises `DocumentSyntaxError`."""
    try:
        values = tomllib.loads(document.text)
    except tomllib.TOMLDecodeError as error:
        position = LINE_NUMBER.search(str(error))
        line = int(position.group(1)) if position else document.text.count("\n") + 1
        raise DocumentSyntaxError(document.name, line, str(error)) from error
    return DecodedDocument(document.name, values, dict(_key_lines(document.text)))


def _key_lines(text: str) -> Iterator[tuple[KeyPath, int]]:
    table: KeyPath = ()
    for number, line in enumerate(text.splitlines(), start=1):
        header = TABLE_HEADER.match(line)
        if header:
            table = _split_key(header.group("key"))
            yield table, number
            continue
        pair = KEY_ASSIGNMENT.match(line)
        if pair:
            yield (*table, *_split_key(pair.group("key"))), number


def _split_key(key: str) -> KeyPath:
    return tuple(part.strip("\"'") for part in KEY_PART.findall(key))
