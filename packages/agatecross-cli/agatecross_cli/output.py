"""Output formats, selected by `--format`."""

from collections.abc import Mapping
from typing import Protocol

import msgspec

from .command import Result


class Formatter(Protocol):
    """Formats a result for standard output."""

    def __call__(self, result: Result) -> str:
        """Return the text without the final newline."""
        ...


def format_text(result: Result) -> str:
    """Return the lines for people."""
    return "\n".join(result.lines)


def format_json(result: Result) -> str:
    """Return a JSON object with `exit_code` and `result`."""
    content = {"exit_code": int(result.code), "result": result.body}
    return msgspec.json.encode(content).decode()


FORMATTERS: Mapping[str, Formatter] = {"text": format_text, "json": format_json}
