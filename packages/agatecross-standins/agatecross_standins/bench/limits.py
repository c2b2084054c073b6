"""Measures the limits of customers over a fleet in virtual time.

For each size of the fleet and each event: the share of what is due that passes, the worst window's
arrivals over what is allowed, and the messages and bytes of each daemon.
"""

import random
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass

from absl import app, flags

from agatecross_core.customers.model import Customer
from agatecross_core.ids import CustomerName

from ..virtual_limits import Daemon, VirtualLimits
from .admission_runs import write_report

SEED = flags.DEFINE_integer("seed", 7, "Seed of the arrivals.")
SEEDS = flags.DEFINE_integer("seeds", 1, "Number of seeds; the table has the worst of each column.")
SIZES = flags.DEFINE_list("daemons", ["10", "85", "300", "1300"], "Sizes of the fleet.")
EVENTS = flags.DEFINE_list("events", [], "Names of the events to play, all by default.")

WINDOW_MS = 5_000.0
WINDOW_STEP_MS = 100.0
START_MS = 1_000.0
# The first windows are those of a fleet that has just started.
TRAFFIC_AT_MS = START_MS + 2_000.0
END_MS = START_MS + 26_000.0
EVENT_AT_MS = START_MS + 12_000.0
HOT_AT_MS = START_MS + 10_000.0
HOT_END_MS = START_MS + 17_000.0
HOT_FACTOR = 5.0
HOT_CUSTOMERS = (0, 5, 30)
LIMIT_FACTOR = 1.6
BURST_SECONDS = 0.25
CUSTOMERS = 85
SKEW = 1.2
CALLS_PER_SECOND = 820.0
OVERAGE = 0.1
SLACK = 20.0
# Callers send in clumps: for some time more, for some time less.
CLUMP_MS = 400.0
CLUMP_SWING = 0.6
# The lowest share is that of customers with at least so many calls.
MIN_DUE = 200

Event = Callable[[VirtualLimits], None]


@dataclass(frozen=True, slots=True)
class Result:
    """Results of one run.

    `due` is the passed share of what exact buckets would admit, over all customers and of the
    customer with the lowest one; `window` the worst window's arrivals over what is allowed;
    messages and bytes are for each second and daemon, on average and at the busiest.
    """

    daemons: int
    event: str
    due: float
    lowest_due: float
    window: float
    messages: float
    bytes: float
    most_messages: float
    most_bytes: float


def cut_third(fleet: VirtualLimits) -> None:
    """Cut a third of the fleet off for 6 s."""
    fleet.cut(1 / 3)
    fleet.at(fleet.now + 6_000, fleet.heal)


def kill_homes(fleet: VirtualLimits) -> None:
    """Kill all homes; they start again after a second."""
    fleet.kill(fleet.homes(), 1_000)


def freeze_homes(fleet: VirtualLimits) -> None:
    """Let all homes stand still for 2 s."""
    fleet.freeze(fleet.homes(), 2_000)


def restart_half(fleet: VirtualLimits) -> None:
    """Kill half of the fleet; it starts again after 1.5 s."""
    fleet.kill(list(fleet.daemons.values())[::2], 1_500)


def restart_all(fleet: VirtualLimits) -> None:
    """Kill the whole fleet; it starts again after 0.8 s."""
    fleet.kill(list(fleet.daemons.values()), 800)


def lose_messages(fleet: VirtualLimits) -> None:
    """Lose a fifth of the messages for 6 s."""

    def end() -> None:
        fleet.loss = 0.0

    fleet.loss = 0.2
    fleet.at(fleet.now + 6_000, end)


def nothing(fleet: VirtualLimits) -> None:
    """Let nothing happen."""


SCENARIOS: Mapping[str, tuple[Event, bool]] = {
    "calm": (nothing, False),
    "hot": (nothing, True),
    "calm with a third cut off": (cut_third, False),
    "hot with a third cut off": (cut_third, True),
    "calm with the home killed": (kill_homes, False),
    "hot with the home killed": (kill_homes, True),
    "hot with the home frozen": (freeze_homes, True),
    "calm with half restarted": (restart_half, False),
    "hot with half restarted": (restart_half, True),
    "calm with all restarted": (restart_all, False),
    "hot with all restarted": (restart_all, True),
    "hot with messages lost": (lose_messages, True),
}


def make_customers() -> list[tuple[Customer, float]]:
    """Return customers with their usual calls a second, a few of them large."""
    weights = [(rank + 1) ** -SKEW for rank in range(CUSTOMERS)]
    rates = [CALLS_PER_SECOND * weight / sum(weights) for weight in weights]
    return [
        (
            Customer(
                CustomerName(f"c{number}"),
                rate=rate * LIMIT_FACTOR,
                burst=rate * LIMIT_FACTOR * BURST_SECONDS,
            ),
            rate,
        )
        for number, rate in enumerate(rates)
    ]


def plan_calls(
    fleet: VirtualLimits, customer: Customer, usual: float, is_hot: bool, rng: random.Random
) -> None:
    """Schedule the calls of a customer, unevenly over the daemons and in clumps."""
    daemons = list(fleet.daemons.values())
    weights = [rng.paretovariate(1.3) for _ in daemons]
    peak = usual * (HOT_FACTOR if is_hot else 1.0) * (1 + CLUMP_SWING)
    factors: dict[int, float] = {}
    now = TRAFFIC_AT_MS
    while (now := now + rng.expovariate(peak / 1000)) < END_MS:
        hot = is_hot and HOT_AT_MS <= now < HOT_END_MS
        clump = factors.setdefault(int(now / CLUMP_MS), rng.uniform(-CLUMP_SWING, CLUMP_SWING))
        if rng.random() * peak < usual * (HOT_FACTOR if hot else 1.0) * (1 + clump):
            daemon = rng.choices(daemons, weights)[0]
            fleet.at(now, _caller(fleet, daemon, customer, rng))


def _caller(
    fleet: VirtualLimits, daemon: Daemon, customer: Customer, rng: random.Random
) -> Callable[[], None]:
    def call() -> None:
        chosen = daemon
        if not daemon.is_running:
            # Callers move to another daemon.
            running = [row for row in fleet.daemons.values() if row.is_running]
            chosen = rng.choice(running or [daemon])
        fleet.call(chosen, customer)

    return call


def allowed_calls(rate: float, burst: float) -> float:
    """Return how many calls of a customer may arrive in a window."""
    return (rate * WINDOW_MS / 1000 + burst) * (1 + OVERAGE) + SLACK


def worst_window(customer: Customer, arrivals: Sequence[float]) -> float:
    """Return the most arrivals in a window over what is allowed."""
    allowed = allowed_calls(customer.rate, customer.burst)
    first, worst = 0, 0
    times = sorted(arrivals)
    for number, time in enumerate(times):
        while times[first] <= time - WINDOW_MS:
            first += 1
        worst = max(worst, number - first + 1)
    return worst / allowed


def due_and_passed(
    customer: Customer, offered: Sequence[float], arrivals: Sequence[float]
) -> tuple[float, float]:
    """Return the calls that an exact bucket admits, and how many of them passed, by windows."""
    tokens, filled_at = customer.burst, START_MS
    due: dict[int, int] = defaultdict(int)
    passed: dict[int, int] = defaultdict(int)
    for time in offered:
        tokens = min(customer.burst, tokens + customer.rate * (time - filled_at) / 1000)
        tokens, filled_at = max(tokens, 1.0) if customer.burst < 1 else tokens, time
        if tokens >= 1:
            tokens -= 1
            due[int(time / WINDOW_MS)] += 1
    for time in arrivals:
        passed[int(time / WINDOW_MS)] += 1
    # A call that comes back may pass in the next window.
    total, carried, got = 0, 0.0, 0.0
    for window in range(int(END_MS / WINDOW_MS) + 2):
        total += due[window]
        owed = due[window] + carried
        taken = min(owed, passed[window])
        got += taken
        carried = min(owed - taken, 0.1 * due[window])
    return total, got


def run(daemons: int, event: str, seed: int) -> Result:
    """Return the results of one event in a fleet of some size."""
    act, hot = SCENARIOS[event]
    customers = make_customers()
    fleet = VirtualLimits(daemons, (row for row, _ in customers), seed)
    rng = random.Random(seed)
    for number, (customer, usual) in enumerate(customers):
        plan_calls(fleet, customer, usual, hot and number in HOT_CUSTOMERS, rng)
    fleet.run_until(EVENT_AT_MS)
    act(fleet)
    fleet.run_until(END_MS + 500)
    offered: dict[CustomerName, list[float]] = defaultdict(list)
    arrivals: dict[CustomerName, list[float]] = defaultdict(list)
    for time, name in fleet.offered:
        offered[name].append(time)
    for time, name in fleet.arrivals:
        arrivals[name].append(time)
    shares = [due_and_passed(row, offered[row.name], arrivals[row.name]) for row, _ in customers]
    seconds = (END_MS - START_MS) / 1000
    sent = [row.sent for row in fleet.daemons.values()]
    return Result(
        daemons,
        event,
        sum(got for _, got in shares) / sum(due for due, _ in shares),
        min(got / due for due, got in shares if due >= MIN_DUE),
        max(worst_window(row, arrivals[row.name]) for row, _ in customers if arrivals[row.name]),
        sum(row["messages"] for row in sent) / seconds / daemons,
        sum(row["bytes"] for row in sent) / seconds / daemons,
        max(row["messages"] for row in sent) / seconds,
        max(row["bytes"] for row in sent) / seconds,
    )


def worst_of(results: Sequence[Result]) -> Result:
    """Return the least favourable value of each column."""
    first = results[0]
    return Result(
        first.daemons,
        first.event,
        min(row.due for row in results),
        min(row.lowest_due for row in results),
        max(row.window for row in results),
        max(row.messages for row in results),
        max(row.bytes for row in results),
        max(row.most_messages for row in results),
        max(row.most_bytes for row in results),
    )


def main(argv: Sequence[str]) -> None:
    """Play each event in each size and print a table."""
    del argv
    results = []
    print("| daemons | event | due | lowest | window | messages/s | B/s | most | most B/s |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for size in map(int, SIZES.value):
        for event in EVENTS.value or SCENARIOS:
            runs = [run(size, event, SEED.value + number) for number in range(SEEDS.value)]
            results += runs
            row = worst_of(runs)
            print(
                f"| {size} | {event} | {row.due:.3f} | {row.lowest_due:.3f} | {row.window:.2f} "
                f"| {row.messages:.1f} | {row.bytes:.0f} | {row.most_messages:.0f} "
                f"| {row.most_bytes:.0f} |",
                flush=True,
            )
    write_report("bench-limits", {"seed": SEED.value, "runs": [asdict(row) for row in results]})


if __name__ == "__main__":
    app.run(main)
