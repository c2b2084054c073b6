"""The command `trace`: the events of one call in every daemon's log, and its cause."""

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from ..call_causes import belongs, cause_of
from ..command import Command, CommandError, Context, Result
from ..event_lines import EventLine, read_events
from ..exit_codes import ExitCode

# All logs of a large fleet.
MOST_ARGUMENTS = 10_000


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Follow an id through log files."""
    del context
    call_id, *files = arguments
    try:
        found = [row for row in read_events(map(Path, files)) if belongs(row, call_id)]
    except OSError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
    if not found:
        message = f"no event of call {call_id!r} in {len(files)} files"
        return Result(ExitCode.FINDINGS, (message,), {"call_id": call_id, "events": ()})
    found.sort(key=lambda row: row.time)
    cause = cause_of(call_id, found)
    lines = [event_line(row) for row in found]
    if cause is None:
        lines.append("cause: unknown, the end of the call was not logged")
    else:
        place = f"{cause.deciding.file}:{cause.deciding.line}"
        lines.append(f"cause: {cause.cause}: {cause.meaning} ({place})")
    body = {
        "call_id": call_id,
        "events": [asdict(row) for row in found],
        "cause": asdict(cause) if cause else None,
    }
    return Result(ExitCode.SUCCESS if cause else ExitCode.UNKNOWN, tuple(lines), body)


def event_line(row: EventLine) -> str:
    """Return an event for a reader."""
    shown = " ".join(f"{key}={value}" for key, value in row.pairs.items() if key != "time")
    return f"{row.time:.3f} {row.file}:{row.line}: {shown}"


COMMAND = Command("trace CALL_ID FILE...", 2, MOST_ARGUMENTS, run)
