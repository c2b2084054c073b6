import heapq
import math
import random
from bisect import bisect_right
from dataclasses import dataclass

from behave import then, when

from agatecross_core.admission.slot_queue import (
    CallAwaitingSlot,
    SlotQueue,
    StartHandover,
    start_order,
)

SEEDS = range(4)
DURATION_MS = 60_000
WAVE_PERIOD_MS = 15_000
WAVE_SWING = 0.5
COST_SPREAD = 0.4
TAIL_SHARE, TAIL_FACTOR = 0.03, 7


class OneMeanQueue(SlotQueue):
    """The former policy: the wait is the number of calls ahead times one mean cost."""

    def _expected_wait(self, call):
        ahead = bisect_right(self.waiting, start_order(call), key=start_order)
        return (ahead + 1) * self.mean_cost / max(1, self.slots)


@dataclass
class Route:
    share: float
    cost: float
    objective: float
    deadline: float
    rank: int
    asked: int = 0
    in_objective: int = 0


def parse_routes(text):
    rows = (row.split() for row in text.split("; "))
    return {name: Route(*map(float, numbers)) for name, *numbers in rows}


def arrivals(rng, routes, slots, load):
    level, is_wave = float(load.split()[0]), "wave" in load
    capacity = slots / sum(row.share * row.cost for row in routes.values())
    now, names = 0.0, list(routes)
    while now < DURATION_MS:
        swing = WAVE_SWING * math.sin(2 * math.pi * now / WAVE_PERIOD_MS) if is_wave else 0.0
        now += rng.expovariate(capacity * (level + swing))
        yield now, rng.choices(names, [row.share for row in routes.values()])[0]


def replay(queue, seed, routes, slots, load):
    """Replay one minute in virtual time; add what was asked and served in time to the routes."""
    rng = random.Random(seed)
    queue.slots = slots
    calls = dict(enumerate(arrivals(rng, routes, slots, load)))
    events = [(at, False, call_id) for call_id, (at, _) in calls.items()]
    heapq.heapify(events)

    def start(actions, now):
        for action in actions:
            if isinstance(action, StartHandover):
                at, name = calls[action.handover_id]
                work = routes[name].cost * rng.lognormvariate(-(COST_SPREAD**2) / 2, COST_SPREAD)
                work *= TAIL_FACTOR if rng.random() < TAIL_SHARE else 1
                end = min(now + work, at + routes[name].deadline)
                heapq.heappush(events, (end, True, action.handover_id))

    while events:
        now, ended, call_id = heapq.heappop(events)
        at, name = calls[call_id]
        row = routes[name]
        if ended:
            row.in_objective += now - at <= row.objective
            queue.finish(call_id, now, now < at + row.deadline)
            start(list(queue.start_waiting(now)), now)
        else:
            row.asked += 1
            call = CallAwaitingSlot(call_id, name, row.rank, at + row.objective, at + row.deadline)
            start(list(queue.admit(call, now)), now)


def share_in_objective(routes):
    rows = routes.values()
    return sum(row.in_objective for row in rows) / sum(row.asked for row in rows)


@when('calls of "{routes}" arrive at {slots:d} slots with a load of {load}')
def step_replay(context, routes, slots, load):
    context.replayed = {}
    for policy in (SlotQueue, OneMeanQueue):
        rows = context.replayed[policy] = parse_routes(routes)
        for seed in SEEDS:
            replay(policy(), seed, rows, slots, load)


@then("the share served within the objective is at least {gain:f} above that of the former policy")
def step_gain(context, gain):
    share, former = map(share_in_objective, context.replayed.values())
    print(f"served within the objective: {share:.3f}, formerly {former:.3f}")
    assert share >= former + gain, (share, former)


@then("no route is served less than half as often as all together")
def step_not_starved(context):
    routes = context.replayed[SlotQueue]
    for name, row in routes.items():
        assert row.in_objective / row.asked > share_in_objective(routes) / 2, (name, routes)
