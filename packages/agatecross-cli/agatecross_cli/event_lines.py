"""Reads the event lines that daemons write: one line of key=value pairs for each event."""

import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

# A value is plain, or a JSON string when it holds other characters.
PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')


@dataclass(frozen=True, slots=True)
class EventLine:
    """One event: where it was written, its Unix time in seconds, and its pairs."""

    file: str
    line: int
    time: float
    pairs: Mapping[str, str]

    @property
    def event(self) -> str:
        """Return the kind of event."""
        return self.pairs["event"]


def read_events(paths: Iterable[Path]) -> Iterator[EventLine]:
    """Yield the events of the files; raises `OSError`. Other lines are passed over."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            for number, text in enumerate(lines, 1):
                if "event=" in text:
                    yield from parse_event(path.name, number, text)


def parse_event(file: str, number: int, text: str) -> Iterator[EventLine]:
    """Yield the event of a line, unless the line was cut off before its end."""
    pairs = {key: _value(value) for key, value in PAIR.findall(text)}
    try:
        time = float(pairs.get("time", "0"))
    except ValueError:
        return
    if pairs.get("event"):
        yield EventLine(file, number, time, pairs)


def _value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except json.JSONDecodeError:
        return text
