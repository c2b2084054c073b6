"""Parses the event lines of daemon logs: one line of key=value pairs for each event."""

import json
import re
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path

# A value is plain, or a JSON string if it contains other characters. A closing quote that does not
# end the value belongs to a later line: the JSON string was truncated.
PAIR_PATTERN = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"(?=\s|$)|\S*)')

EVENTS_PER_PROGRESS_LINE = 200_000


@dataclass(frozen=True, slots=True)
class EventLine:
    """One event: its file and line, its process, its Unix time in seconds, and its pairs.

    `process` is the name before the event, or the file if the line has none.
    """

    file: str
    line: int
    process: str
    time: float
    pairs: Mapping[str, str]

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.pairs["event"]


def read_events(paths: Iterable[Path]) -> Iterator[EventLine]:
    """Yield the events of the files and skip other lines; raises `OSError`."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            for number, text in enumerate(lines, 1):
                if "event=" in text:
                    yield from parse_event(str(path), number, text)


def report_progress(events: Iterable[EventLine]) -> Iterator[EventLine]:
    """Yield the events and regularly report their number on standard error."""
    for number, row in enumerate(events, 1):
        yield row
        if number % EVENTS_PER_PROGRESS_LINE == 0:
            print(f"agatecross: {number} events read", file=sys.stderr)


def count_left_out(row: EventLine) -> int:
    """Return how many events the daemon left out of the log before this one."""
    count = row.pairs.get("left_out", "")
    return int(count) if count.isdigit() else 0


def parse_event(file: str, number: int, text: str) -> Iterator[EventLine]:
    """Yield the events of a line.

    In a log that several processes write to, a line may contain the beginning of one process's line
    followed by another's. Each event begins with its time, after the name of its process. The last
    value of a truncated event is dropped, because it may be incomplete.
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
    """Collects the pairs of one event of a line."""

    def __init__(self, process: str) -> None:
        self.process = process
        self.pairs: dict[str, str] = {}
        self.last_key = ""
        self.end = 0

    def add(self, match: re.Match[str]) -> None:
        """Add the next pair."""
        self.last_key, self.end = match[1], match.end()
        self.pairs[match[1]] = _decode_value(match[2])

    def build(self, file: str, number: int, truncated: bool) -> Iterator[EventLine]:
        """Yield the event, if the pairs form one."""
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
