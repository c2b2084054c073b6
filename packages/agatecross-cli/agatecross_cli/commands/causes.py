"""The command `causes`: how many calls failed or were refused, by service and cause."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

from ..call_causes import REFUSAL_EVENT, find_cause, is_call_end, is_failed_call
from ..command import Command, CommandError, Context, Result
from ..event_lines import EventLine, count_left_out, read_events, report_progress
from ..exit_codes import ExitCode
from ..process_events import ProcessEvents
from .trace import MAX_ARGUMENTS


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Count the causes in log files; events that daemons left out are counted separately."""
    del context
    calls: defaultdict[str, list[EventLine]] = defaultdict(list)
    process_events = ProcessEvents()
    left_out = 0
    try:
        for row in report_progress(read_events(map(Path, arguments))):
            left_out += count_left_out(row)
            process_events.add(row)
            call_id, _, inner = row.pairs.get("call_id", "").partition(".")
            # Refusals of inner calls explain a failure when the ends of those were left out.
            if call_id and (is_call_end(row) or (inner and row.event == REFUSAL_EVENT)):
                calls[call_id].append(row)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
    counts: Counter[tuple[str, str, str]] = Counter()
    for call_id, rows in calls.items():
        ends = [row for row in rows if row.pairs["call_id"] == call_id]
        cause = find_cause(call_id, rows, process_events)
        if cause is not None and is_failed_call(ends[-1]):
            counts[(ends[-1].pairs.get("service", ""), cause.outcome, cause.cause)] += 1
    lines = [
        f"{count:8d} {service or '-'} {outcome} {cause}"
        for (service, outcome, cause), count in counts.most_common()
    ]
    lines.append(f"{left_out:8d} events were left out by the daemons")
    body = {
        "causes": [
            {"service": service, "outcome": outcome, "cause": cause, "calls": count}
            for (service, outcome, cause), count in counts.most_common()
        ],
        "left_out": left_out,
    }
    return Result(ExitCode.SUCCESS, tuple(lines), body)


COMMAND = Command("causes FILE...", 1, MAX_ARGUMENTS, run)
