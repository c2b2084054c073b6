"""Traces a seeded sample of failed calls, to compare their causes with a report of a test bench.

`python -m agatecross_standins.trace_sample --seed=7 --count=20 LOG...` reads the logs of all
daemons of a day. It prints a table with the id, the status, the cause and the deciding line of each
sampled call, then the number of failed calls for each status and cause. Only calls of callers are
sampled, not calls that an upstream made while it ran one.
"""

import random
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from absl import app, flags

from agatecross_cli.call_causes import Cause, find_cause, is_call_end, is_failed_call
from agatecross_cli.event_lines import EventLine, read_events
from agatecross_cli.process_events import ProcessEvents

SEED = flags.DEFINE_integer("seed", 1, "Seed of the sample.")
COUNT = flags.DEFINE_integer("count", 20, "Number of calls to sample.", lower_bound=1)


@dataclass(frozen=True, slots=True)
class FailedCall:
    """A failed call, with the status that its caller got and the cause."""

    status: str
    cause: Cause


def failed_calls(events: Iterable[EventLine]) -> Iterator[FailedCall]:
    """Yield the failed calls, sorted by id."""
    facts = ProcessEvents()
    calls: defaultdict[str, list[EventLine]] = defaultdict(list)
    for row in events:
        facts.add(row)
        if "call_id" in row.pairs:
            calls[row.pairs["call_id"].partition(".")[0]].append(row)
    for call_id, rows in sorted(calls.items()):
        cause = find_cause(call_id, rows, facts)
        ends = [r for r in rows if is_call_end(r) and r.pairs["call_id"] == call_id]
        if cause is not None and is_failed_call(ends[-1]):
            yield FailedCall(ends[-1].pairs.get("status", ""), cause)


def format_table(calls: Iterable[FailedCall]) -> Iterator[str]:
    """Yield the rows of a Markdown table."""
    yield "| id | status | cause | deciding line |"
    yield "| --- | --- | --- | --- |"
    for call in calls:
        deciding = call.cause.deciding
        shown = f"{deciding.line}: {deciding.process}: {format_pairs(deciding.pairs)}"
        yield f"| {call.cause.call_id} | {call.status} | {call.cause.cause} | {shown} |"


def format_pairs(pairs: Mapping[str, str]) -> str:
    """Return the most relevant pairs of a deciding line."""
    names = ("event", "instance", "reason", "load", "version", "daemon", "status", "took_ms")
    return " ".join(f"{name}={pairs[name]}" for name in names if pairs.get(name))


def main(argv: Sequence[str]) -> None:
    """Print the table of sampled calls and the counts of all failed calls."""
    calls = list(failed_calls(read_events(map(Path, argv[1:]))))
    drawn = random.Random(SEED.value).sample(calls, min(COUNT.value, len(calls)))
    print(f"seed {SEED.value}: {len(drawn)} of {len(calls)} failed calls")
    print("\n".join(format_table(drawn)))
    for (status, cause), count in Counter((c.status, c.cause.cause) for c in calls).most_common():
        print(f"{count:8d} {status} {cause}")
    sys.exit(0 if drawn else 1)


if __name__ == "__main__":
    app.run(main)
