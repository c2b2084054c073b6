import heapq
import itertools
import math
import random
from collections import Counter
from dataclasses import dataclass

from behave import given, then, when

from agatecross_core.admission.slot_queue import CallAwaitingSlot, SlotQueue, StartHandover
from agatecross_core.ids import Millis
from agatecross_core.members.directory import Endpoint
from agatecross_core.relay.flow import RelayPolicy, relay
from agatecross_core.relay.model import RelayResponse, RelayResult, Repeat, not_run_result
from agatecross_core.routing.lowest_cost import KIB, LowestCostBalancer
from agatecross_core.routing.spill import Offer, SpillAllowance, select_offer
from agatecross_core.states import Locality, Outcome, UpstreamState

LOCALITIES = {
    "near": Locality.DATA_CENTRE,
    "region": Locality.REGION,
    "remote": Locality.REMOTE,
}
ONE_WAY_MS = {Locality.DATA_CENTRE: 0.1, Locality.REGION: 1.4, Locality.REMOTE: 8.0}
SEEDS = range(2)
DURATION_MS = 20_000
WAVE_PERIOD_MS = 10_000
WAVE_SWING = 0.5
SPEEDS = (0.7, 0.7, 1.6)
COST_SPREAD = 0.4
SLOTS = 3
ENTRIES = 10


class PenaltyBalancer(LowestCostBalancer):
    """The former rule: a penalty for the distance and the size, in shares of busy slots."""

    def choose(self, endpoints, tried, route, objective_left, now):
        size = self.mean_sizes.get(route, 1.0)
        penalties = dict(zip(Locality, (0.0, 0.2 + 0.06 * size, 0.5 + 0.35 * size), strict=True))
        untried = [endpoint for endpoint in endpoints if endpoint.daemon_id not in tried]
        return min(
            untried,
            key=lambda row: self.cost(row, now) + penalties[self.stats_of(row).locality],
            default=None,
        )


@dataclass(frozen=True)
class Route:
    share: float
    cost: float
    objective: float
    deadline: float
    rank: float
    kib: float


class Fleet:
    """Two regions of two data centres; replays calls in virtual time and counts what happens."""

    def __init__(self, policy, seed, routes, level, swing, upstreams):
        self.rng = random.Random(seed)
        self.routes, self.level, self.swing = routes, level, swing
        self.events, self.ids, self.count, self.now = [], itertools.count(), Counter(), 0.0
        self.endpoints, self.queues, self.speeds, self.calls = [], {}, {}, {}
        self.centres = ("north-a", "north-b", "south-a", "south-b")
        for centre, number in zip(self.centres, upstreams, strict=True):
            for name in (f"{centre}-{i}" for i in range(number)):
                row = (name, 1, 1, "", centre[:5], centre, "s", f"i-{name}", 1, UpstreamState.READY)
                self.endpoints.append(Endpoint(*row, SLOTS))
                self.queues[name] = SlotQueue()
                self.queues[name].slots = SLOTS
                self.speeds[name] = SPEEDS[len(self.speeds) % len(SPEEDS)]
        self.balancers = {
            centre: [policy(centre[:5], centre, self.rng) for _ in range(ENTRIES)]
            for centre in self.centres
        }

    def at(self, time, step, *arguments):
        heapq.heappush(self.events, (time, next(self.ids), step, arguments))

    def run(self):
        mean_cost = sum(row.share * row.cost for row in self.routes.values())
        speed = sum(1 / speed for speed in self.speeds.values()) * SLOTS / mean_cost
        for number, centre in enumerate(self.centres):
            time, peak = 0.0, speed * self.level * (1 + self.swing) / len(self.centres)
            while (time := time + self.rng.expovariate(peak)) < DURATION_MS:
                phase = time / WAVE_PERIOD_MS + number / len(self.centres)
                wave = 1 + self.swing * math.sin(2 * math.pi * phase)
                if self.rng.random() * (1 + self.swing) < wave:
                    shares = [row.share for row in self.routes.values()]
                    name = self.rng.choices(list(self.routes), shares)[0]
                    self.at(time, Call(self, name, self.rng.choice(self.balancers[centre])).begin)
        while self.events:
            self.now, _, step, arguments = heapq.heappop(self.events)
            step(*arguments)
        return self.count

    def act(self, daemon, actions):
        for action in list(actions):
            call = self.calls[action.handover_id]
            if isinstance(action, StartHandover):
                spread = self.rng.lognormvariate(-(COST_SPREAD**2) / 2, COST_SPREAD)
                end = self.now + call.route.cost * self.speeds[daemon] * spread
                self.at(end, self.finish, daemon, action.handover_id)
            else:
                call.answer(not_run_result(action.reason))

    def finish(self, daemon, handover_id):
        self.queues[daemon].finish(handover_id, self.now, True)
        body = bytes(int(self.calls[handover_id].route.kib * KIB / 2))
        response = RelayResponse(200, (), body)
        self.calls.pop(handover_id).answer(RelayResult(Outcome.RAN, None, response, True))
        self.act(daemon, self.queues[daemon].start_waiting(self.now))


class Call:
    """One call: half of its bytes are the request's, the other half the response's."""

    def __init__(self, fleet, name, balancer):
        self.fleet, self.name, self.balancer = fleet, name, balancer
        self.route = fleet.routes[name]

    def begin(self):
        self.arrived = self.fleet.now
        self.fleet.count["calls"] += 1
        self.fleet.count["bytes"] += self.route.kib
        self.balancer.record_call(self.name)
        least = self.balancer.least_time_of(self.name)
        policy = RelayPolicy(Repeat.ONCE, 1, least)
        deadline = self.arrived + self.route.deadline
        self.flow = relay(policy, self.choose, lambda: deadline - self.fleet.now, lambda: True)
        self.attempt(next(self.flow))

    def choose(self, tried):
        fleet = self.fleet
        left = Millis(self.arrived + self.route.objective - fleet.now)
        endpoint = self.balancer.choose(fleet.endpoints, tried, self.name, left, fleet.now)
        if endpoint is not None:
            self.balancer.record_start(endpoint, self.name)
            self.locality = self.balancer.stats_of(endpoint).locality
        return endpoint

    def attempt(self, attempt):
        self.daemon, self.sent = attempt.daemon_id, self.fleet.now
        self.fleet.at(self.sent + ONE_WAY_MS[self.locality], self.arrive, next(self.fleet.ids))

    def arrive(self, handover_id):
        fleet, route = self.fleet, self.route
        fleet.calls[handover_id] = self
        times = (self.arrived + route.objective, self.arrived + route.deadline)
        waiting = CallAwaitingSlot(handover_id, self.name, int(route.rank), *times)
        fleet.act(self.daemon, fleet.queues[self.daemon].admit(waiting, fleet.now))

    def answer(self, result):
        queue = self.fleet.queues[self.daemon]
        cost = Millis(queue.costs.get(self.name, 0.0))
        row = (result.outcome, result.reason, result.response, result.reached_upstream)
        full = RelayResult(*row, queue.load, queue.capacity, cost)
        self.fleet.at(self.fleet.now + ONE_WAY_MS[self.locality], self.receive, full)

    def receive(self, result):
        fleet, sent_bytes = self.fleet, int(self.route.kib * KIB / 2)
        elapsed = Millis(fleet.now - self.sent)
        row = (self.daemon, result, elapsed, self.name, sent_bytes, fleet.now)
        self.balancer.record_result(*row)
        left = self.locality is not Locality.DATA_CENTRE
        ran = result.response is not None
        fleet.count["left"] += left and ran
        fleet.count["in vain"] += self.route.kib / 2 if left and not ran else 0
        fleet.count["in time"] += ran and fleet.now - self.arrived <= self.route.objective
        try:
            self.attempt(self.flow.send(result))
        except StopIteration as stop:
            fleet.count["refused"] += stop.value.outcome is Outcome.NOT_RUN


@given('the offers "{offers}"')
@given('the offers ""')
def step_offers(context, offers=""):
    rows = (row.split() for row in offers.split("; ") if row)
    context.offers = [
        Offer(
            name,
            LOCALITIES[locality],
            Millis(float(wait)),
            Millis(100),
            "down" not in state,
            "full" in state,
        )
        for name, locality, wait, *state in rows
    ]


@when("a call with {left:d} ms left has been sent {times:d} times and may leave: {leave}")
def step_select(context, left, times, leave):
    context.chosen = select_offer(context.offers, Millis(left), times, leave == "yes")


@then('it goes to "{chosen}"')
@then('it goes to ""')
def step_chosen(context, chosen=""):
    assert (context.chosen.endpoint if context.chosen else "") == chosen, context.chosen


@when('calls of "{routes}" arrive with a load of {load} in data centres of {upstreams} upstreams')
def step_replay(context, routes, load, upstreams):
    rows = (row.split() for row in routes.split("; "))
    table = {name: Route(*map(float, numbers)) for name, *numbers in rows}
    swing = WAVE_SWING if "wave" in load else 0.0
    numbers = [int(number) for number in upstreams.split()]
    context.placed = [
        sum(
            (
                Fleet(policy, seed, table, float(load.split()[0]), swing, numbers).run()
                for seed in SEEDS
            ),
            Counter(),
        )
        for policy in (PenaltyBalancer, LowestCostBalancer)
    ]


@then('the "{figure}" is {before} before and {after} now')
def step_figures(context, figure, before, after):
    whole = "bytes" if figure == "in vain" else "calls"
    shares = [count[figure] / count[whole] for count in context.placed]
    print(f"{figure}: before {shares[0]:.3f}, now {shares[1]:.3f}")
    for text, share in zip((before, after), shares, strict=True):
        bound = float(text.split()[-1])
        assert share >= bound if "least" in text else share <= bound, (figure, shares)


@then("at most {loss:f} fewer calls are answered in time than before")
def step_loss(context, loss):
    before, now = (count["in time"] / count["calls"] for count in context.placed)
    print(f"answered in time: before {before:.3f}, now {now:.3f}")
    assert now >= before - loss, (before, now)


@when("of two idle upstreams one was to be cold for {cold:d} ms, {age:d} ms ago")
def step_cold(context, cold, age):
    balancer = LowestCostBalancer("north", "north-a", random.Random(1))
    row = (1, 1, "", "north", "north-a", "s")
    endpoints = [
        Endpoint(name, *row, f"i-{name}", 1, UpstreamState.READY, SLOTS, Millis(cold_ms))
        for name, cold_ms in (("cold", cold), ("warm", 0))
    ]
    chosen = [
        balancer.choose(endpoints, (), "r", Millis(500), Millis(now)).daemon_id
        for now in (0, *[age] * 200)
    ]
    context.cold_share = chosen[1:].count("cold") / 2


@then("it gets {low:d} to {high:d} % of the calls")
def step_cold_share(context, low, high):
    assert low <= context.cold_share <= high, context.cold_share


@when("{forced:d} calls had to leave and {answered:d} were answered, and {stayed:d} others stay")
def step_allowance(context, forced, answered, stayed):
    context.allowance = allowance = SpillAllowance()
    for _ in range(forced):
        allowance.take(1.0)
    for _ in range(answered):
        allowance.give_back(1.0, 1.0)
    for _ in range(stayed):
        allowance.add_call(1.0, 1.0)


@then("a call may leave: {may_leave}, and at most {at_once:d} at once")
def step_may_leave(context, may_leave, at_once):
    count = 0
    while context.allowance.allows(1.0) and count <= at_once:
        context.allowance.take(1.0)
        count += 1
    assert (count > 0, count <= at_once) == (may_leave == "yes", True), count
