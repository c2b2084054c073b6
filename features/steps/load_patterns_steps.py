import heapq
import math
import random
from bisect import bisect_right
from dataclasses import dataclass, replace

from behave import then, when

from agatecross_core.admission.slot_queue import (
    CallAwaitingSlot,
    SlotQueue,
    StartHandover,
    start_order,
)
from agatecross_core.admission.slot_use import CustomerDemand, SlotUse
from agatecross_core.ids import NO_CUSTOMER

SEEDS = range(4)
# The hot time is a tenth of the duration.
HOT_SEEDS = range(16)
DURATION_MS = 60_000
WAVE_PERIOD_MS = 15_000
WAVE_SWING = 0.5
COST_SPREAD = 0.4
TAIL_SHARE, TAIL_FACTOR = 0.03, 7
# A call that is refused after more of its objective than this was held in vain.
HELD_SHARE = 0.125
USUAL_LOAD = 0.8
HOT_START, HOT_END = 30_000, 36_000


class LateQueue(SlotQueue):
    """The former policy: starts all waiting calls in order unless their deadline is very near."""

    def _max_wait(self, call, now):
        to_objective = call.objective_at - now - 1.2 * self.costs.get(call.route, 0.0)
        return max(to_objective, 0.1 * (call.deadline - now))

    def _can_end(self, call, now, by):
        return now + 0.6 * self.costs.get(call.route, 0.0) < by

    def _count_overtaken(self, now):
        return 0

    def _expected_wait(self, call, now):
        self.use = SlotUse()
        self.demand = CustomerDemand()
        return super()._expected_wait(call, now)


class UnfairQueue(SlotQueue):
    """A queue that does not tell customers from each other."""

    def admit(self, call, now):
        yield from super().admit(replace(call, customer=NO_CUSTOMER), now)


class OneMeanQueue(LateQueue):
    """A still older policy: the wait is the number of calls ahead times one mean cost."""

    def _expected_wait(self, call, now):
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
    asked_while_hot: int = 0
    in_objective_while_hot: int = 0
    ran_in_vain: int = 0
    held_in_vain: int = 0


@dataclass(frozen=True)
class HotCustomer:
    """A customer that sends `times` its usual from HOT_START to HOT_END."""

    customer: str = ""
    times: float = 1


def parse_routes(text):
    rows = (row.split() for row in text.split("; "))
    return {name: Route(*map(float, numbers)) for name, *numbers in rows}


def customer_of(name):
    """Return the customer of a route named CUSTOMER:NAME, empty without one."""
    return name.rpartition(":")[0]


def arrivals(rng, routes, slots, load, hot):
    level, is_wave = float(load.split()[0]), "wave" in load
    usual = {name: row.share for name, row in routes.items()}
    burst = {
        name: share * (hot.times if customer_of(name) == hot.customer else 1)
        for name, share in usual.items()
    }
    calls_per_ms = slots / sum(row.share * row.cost for row in routes.values())
    now = 0.0
    while now < DURATION_MS:
        shares = burst if HOT_START <= now < HOT_END else usual
        swing = WAVE_SWING * math.sin(2 * math.pi * now / WAVE_PERIOD_MS) if is_wave else 0.0
        now += rng.expovariate(calls_per_ms * (level + swing) * sum(shares.values()))
        yield now, rng.choices(list(shares), shares.values())[0]


def replay(queue, seed, routes, slots, load, hot):
    """Replay one minute in virtual time; add what was asked and served in time to the routes."""
    rng = random.Random(seed)
    queue.slots = slots
    calls = dict(enumerate(arrivals(rng, routes, slots, load, hot)))
    events = [(at, False, call_id) for call_id, (at, _) in calls.items()]
    heapq.heapify(events)

    def act(actions, now):
        for action in actions:
            at, name = calls[action.handover_id]
            if isinstance(action, StartHandover):
                work = routes[name].cost * rng.lognormvariate(-(COST_SPREAD**2) / 2, COST_SPREAD)
                work *= TAIL_FACTOR if rng.random() < TAIL_SHARE else 1
                end = min(now + work, at + routes[name].deadline)
                heapq.heappush(events, (end, True, action.handover_id))
            else:
                routes[name].held_in_vain += now - at > HELD_SHARE * routes[name].objective

    while events:
        now, ended, call_id = heapq.heappop(events)
        at, name = calls[call_id]
        row = routes[name]
        if ended:
            row.in_objective += now - at <= row.objective
            row.in_objective_while_hot += now - at <= row.objective and HOT_START <= at < HOT_END
            row.ran_in_vain += now >= at + row.deadline
            queue.finish(call_id, now, now < at + row.deadline)
            act(list(queue.start_waiting(now)), now)
        else:
            row.asked += 1
            row.asked_while_hot += HOT_START <= at < HOT_END
            times = (at + row.objective, at + row.deadline)
            call = CallAwaitingSlot(call_id, name, row.rank, *times, customer_of(name))
            act(list(queue.admit(call, now)), now)


def share_in_objective(routes):
    rows = routes.values()
    return sum(row.in_objective for row in rows) / sum(row.asked for row in rows)


def replay_policy(policy, routes, slots, load, hot=HotCustomer(), seeds=SEEDS):
    for seed in seeds:
        replay(policy(), seed, routes, slots, load, hot)
    return routes


def share_of(routes, field):
    rows = routes.values()
    return sum(getattr(row, field) for row in rows) / sum(row.asked for row in rows)


def share_in_objective_while_hot(rows):
    rows = list(rows)
    return sum(row.in_objective_while_hot for row in rows) / sum(
        row.asked_while_hot for row in rows
    )


@when('calls of "{routes}" arrive at {slots:d} slots with a load of {load}')
def step_replay(context, routes, slots, load):
    policies = (SlotQueue, LateQueue, OneMeanQueue)
    context.replayed = {
        policy: replay_policy(policy, parse_routes(routes), slots, load) for policy in policies
    }


@then("the share served within the objective is at least {gain:f} above that of one mean cost")
def step_gain(context, gain):
    share, former = (
        share_in_objective(context.replayed[policy]) for policy in (SlotQueue, OneMeanQueue)
    )
    print(f"served within the objective: {share:.3f}, formerly {former:.3f}")
    assert share >= former + gain, (share, former)


@then('of all calls, "{field}" {before} before, {after} now')
def step_shares(context, field, before, after):
    name = field.replace(" ", "_")
    shares = [share_of(context.replayed[policy], name) for policy in (LateQueue, SlotQueue)]
    print(f"{field}: before {shares[0]:.3f}, now {shares[1]:.3f}")
    for text, share in zip((before, after), shares, strict=True):
        bound = float(text.split()[-1])
        assert share >= bound if "least" in text else share <= bound, (field, shares)


@when('of customers "{routes}", {customer} sends {times:g} times its usual to {slots:d} slots')
def step_hot_customer(context, routes, customer, times, slots):
    hot, usual = HotCustomer(customer, times), HotCustomer()
    context.customer = customer
    context.runs = [
        replay_policy(policy, parse_routes(routes), slots, str(USUAL_LOAD), demand, HOT_SEEDS)
        for policy, demand in (
            (SlotQueue, usual),
            (SlotQueue, hot),
            (UnfairQueue, hot),
            (UnfairQueue, usual),
        )
    ]


@then("the other customers are served within the objective at most {loss:f} less")
def step_others(context, loss):
    usual, hot, unfair, _ = (
        share_in_objective_while_hot(
            row for name, row in routes.items() if customer_of(name) != context.customer
        )
        for routes in context.runs
    )
    print(f"other customers: usual {usual:.3f}, hot {hot:.3f}, without fairness {unfair:.3f}")
    assert hot >= usual - loss, (usual, hot)
    assert unfair < usual - loss, "the load does not show the failure"


@then("all customers together, while none is hot, at most {loss:f} less than without fairness")
def step_cost_of_fairness(context, loss):
    usual, _, _, unfair = map(share_in_objective, context.runs)
    print(f"all customers, none hot: {usual:.3f}, without fairness {unfair:.3f}")
    assert usual >= unfair - loss, (usual, unfair)


@then("no route is served less than half as often as all together")
def step_not_starved(context):
    routes = context.replayed[SlotQueue]
    for name, row in routes.items():
        assert row.in_objective / row.asked > share_in_objective(routes) / 2, (name, routes)
