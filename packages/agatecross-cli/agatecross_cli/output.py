"""Formats of the output, chosen by `--format`."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from .command import Result


class Formatter(Protocol):
    """Turns a result into the text on standard output."""

    def __call__(self, result: Result) -> str:
        """Return the text without its last line end."""
        ...


def format_text(result: Result) -> str:
    """Return lines for a reader."""
    return "\n".join(result.lines)


def format_json(result: Result) -> str:
    """Return one JSON object with `exit_code` and `result`."""
    content = {"exit_code": int(result.code), "result": result.body}
    return msgspec.json.encode(content).decode()


FORMATTERS: Mapping[str, Formatter] = {"text": format_text, "json": format_json}
