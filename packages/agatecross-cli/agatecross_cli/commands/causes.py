"""The command `causes`: how many calls failed or were refused, by service and cause."""

import sys
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

from ..call_causes import CALL_EVENTS, cause_of, failed
from ..command import Command, CommandError, Context, Result
from ..event_lines import EventLine, read_events
from ..exit_codes import ExitCode
from .trace import MOST_ARGUMENTS

# A line on standard error shows that a long input is being read.
PROGRESS_EVENTS = 200_000


async def run(context: Context, arguments: Sequence[str]) -> Result:
    """Count the causes in log files; events that daemons left out are counted apart."""
    del context
    calls: defaultdict[str, list[EventLine]] = defaultdict(list)
    left_out = 0
    try:
        for number, row in enumerate(read_events(map(Path, arguments)), 1):
            left_out += int(row.pairs.get("left_out", "0") or 0)
            if row.event in CALL_EVENTS and "call_id" in row.pairs:
                calls[row.pairs["call_id"].partition(".")[0]].append(row)
            if number % PROGRESS_EVENTS == 0:
                print(f"agatecross: {number} events read", file=sys.stderr)
    except OSError as error:
        raise CommandError(ExitCode.USAGE, str(error)) from error
    counts: Counter[tuple[str, str, str]] = Counter()
    for call_id, rows in calls.items():
        ends = [row for row in rows if row.pairs["call_id"] == call_id]
        cause = cause_of(call_id, rows)
        if cause is not None and failed(ends[-1]):
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


COMMAND = Command("causes FILE...", 1, MOST_ARGUMENTS, run)
