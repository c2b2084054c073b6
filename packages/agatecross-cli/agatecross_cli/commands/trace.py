"""The command `trace`: shows the events of one call in all daemons' logs, and its cause."""

from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path

from ..call_causes import Cause, find_cause, is_event_of_call
from ..command import Command, CommandError, Context, Result
from ..event_lines import EventLine, count_left_out, read_events, report_progress
from ..exit_codes import ExitCode
from ..process_events import ProcessEvents

# Enough for all log files of a large fleet.
MAX_ARGUMENTS = 10_000


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Find the events of a call id in log files."""
    del context
    call_id, *files = arguments
    found: list[EventLine] = []
    process_events = ProcessEvents()
    left_out = 0
    try:
        for row in report_progress(read_events(map(Path, files))):
            left_out += count_left_out(row)
            process_events.add(row)
            if is_event_of_call(row, call_id):
                found.append(row)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
    if not found:
        message = f"no event of call {call_id!r} in {len(files)} files"
        lines = (message, f"the daemons left out {left_out} events")
        body = {"call_id": call_id, "events": (), "left_out": left_out}
        return Result(ExitCode.FINDINGS, lines, body)
    return trace_result(call_id, found, find_cause(call_id, found, process_events), left_out)


def trace_result(
    call_id: str, found: Sequence[EventLine], cause: Cause | None, left_out: int
) -> Result:
    """Return the events of a call and those that explain its cause, sorted by time."""
    explaining = (cause.deciding, *cause.background) if cause else ()
    rows = sorted(
        [*found, *(row for row in explaining if row not in found)], key=lambda row: row.time
    )
    lines = [format_event_line(row) for row in rows]
    if cause is None:
        lines.append("cause: unknown, the end of the call was not logged")
        lines.append(f"the daemons left out {left_out} events")
    else:
        place = f"{cause.deciding.file}:{cause.deciding.line}"
        lines.append(f"cause: {cause.cause}: {cause.meaning} ({place})")
    body = {
        "call_id": call_id,
        "events": [asdict(row) for row in rows],
        "cause": asdict(cause) if cause else None,
        "left_out": left_out,
    }
    return Result(ExitCode.SUCCESS if cause else ExitCode.UNKNOWN, tuple(lines), body)


def format_event_line(row: EventLine) -> str:
    """Return the output line of an event."""
    shown = " ".join(f"{key}={value}" for key, value in row.pairs.items() if key != "time")
    process_prefix = f"{row.process}: " if row.process != row.file else ""
    return f"{row.time:.3f} {row.file}:{row.line}: {process_prefix}{shown}"


COMMAND = Command("trace CALL_ID FILE...", 2, MAX_ARGUMENTS, run)
