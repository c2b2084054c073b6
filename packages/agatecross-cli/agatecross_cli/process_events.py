"""Events of each process that do not belong to one call, indexed by time."""

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterator

from .event_lines import EventLine

PROCESS_EVENT_NAMES = frozenset(
    (
        "config_in_force",
        "daemon_leaving",
        "daemon_started",
        "daemon_stopped",
        "endpoint_learnt",
        "peers_changed",
        "request_refused",
        "strikes_learnt",
        "strikes_lifted",
        "upstream_changed",
        "upstream_died",
        "upstream_unreachable",
    )
)


class ProcessEvents:
    """Events about the state of each process and what it knew of others, for lookup by time."""

    def __init__(self) -> None:
        self.rows_by_event: defaultdict[tuple[str, str], list[EventLine]] = defaultdict(list)
        self.process_by_daemon: dict[str, str] = {}
        self.is_sorted = True

    def add(self, row: EventLine) -> None:
        """Add an event if it is one of `PROCESS_EVENT_NAMES`."""
        if row.event not in PROCESS_EVENT_NAMES:
            return
        self.rows_by_event[(row.process, row.event)].append(row)
        self.is_sorted = False
        if row.event == "daemon_started" and "daemon" in row.pairs:
            self.process_by_daemon[row.pairs["daemon"]] = row.process

    def process_of(self, daemon: str) -> str:
        """Return the process of a daemon, or the daemon's id when its start was not logged."""
        return self.process_by_daemon.get(daemon, daemon)

    def before(self, process: str, event: str, time: float) -> Iterator[EventLine]:
        """Yield the events with a name up to and including a time, newest first."""
        rows = self._sorted_rows(process, event)
        yield from reversed(rows[: bisect_right(rows, time, key=lambda row: row.time)])

    def after(self, process: str, event: str, time: float) -> Iterator[EventLine]:
        """Yield the events with a name after a time, oldest first."""
        rows = self._sorted_rows(process, event)
        yield from rows[bisect_right(rows, time, key=lambda row: row.time) :]

    def between(self, process: str, event: str, start: float, end: float) -> Iterator[EventLine]:
        """Yield the events with a name after `start` and up to `end`, oldest first."""
        yield from (row for row in self.after(process, event, start) if row.time <= end)

    def _sorted_rows(self, process: str, event: str) -> list[EventLine]:
        if not self.is_sorted:
            for rows in self.rows_by_event.values():
                rows.sort(key=lambda row: row.time)
            self.is_sorted = True
        return self.rows_by_event.get((process, event), [])
