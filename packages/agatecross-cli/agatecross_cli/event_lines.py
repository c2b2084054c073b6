"""Reads the event lines that daemons write: one line of key=value pairs for each event."""

import json
import re
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

# A value is plain, or a JSON string when it holds other characters. A quote that does not end the
# value belongs to a later line, and the JSON string was cut off.
PAIR_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"(?=\s|$)|\S*)')

EVENTS_PER_PROGRESS_LINE = 200_000


@dataclass(frozen=True, slots=True)
class EventLine:
    """One event: its file and line, the process that wrote it, its Unix time in seconds, its pairs.

    The process is the name in front of the event, or the file when there is none.
    """

    file: str
    line: int
    process: str
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
                    yield from parse_event(str(path), number, text)


def report_progress(events: Iterable[EventLine]) -> Iterator[EventLine]:
    """Pass events on; a line on standard error shows that a long input is being read."""
    for number, row in enumerate(events, 1):
        yield row
        if number % EVENTS_PER_PROGRESS_LINE == 0:
            print(f"agatecross: {number} events read", file=sys.stderr)


def count_left_out(row: EventLine) -> int:
    """Return how many events the process left out before this one."""
    count = row.pairs.get("left_out", "")
    return int(count) if count.isdigit() else 0


def parse_event(file: str, number: int, text: str) -> Iterator[EventLine]:
    """Yield the events of a line.

    A log that several processes write to may hold the beginning of one's line and then another's.
    Each event begins with its time, behind the name of its process. The last value of an event that
    was cut off is left out.
    """
    builder = EventBuilder(file)
    for match in PAIR_PATTERN.finditer(text):
        if match[1] == "time":
            yield from builder.build(file, number, truncated=True)
            name = text[builder.end : match.start()].split()[-1:]
            builder = EventBuilder(name[0] if name else file)
        builder.add(match)
    yield from builder.build(file, number, truncated=False)


class EventBuilder:
    """The pairs of one event of a line."""

    def __init__(self, process: str) -> None:
        self.process = process
        self.pairs: dict[str, str] = {}
        self.last_key = ""
        self.end = 0

    def add(self, match: re.Match[str]) -> None:
        """Keep the next pair."""
        self.last_key, self.end = match[1], match.end()
        self.pairs[match[1]] = _decode_value(match[2])

    def build(self, file: str, number: int, truncated: bool) -> Iterator[EventLine]:
        """Yield the event, if there is one."""
        if truncated:
            self.pairs.pop(self.last_key, None)
        try:
            time = float(self.pairs.get("time", "0"))
        except ValueError:
            return
        if self.pairs.get("event"):
            yield EventLine(file, number, self.process, time, self.pairs)


def _decode_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return str(json.loads(text))
    except json.JSONDecodeError:
        return text
