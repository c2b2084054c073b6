import random

from behave import then, when
from customer_limits_steps import START, offer
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_example
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from agatecross_core.customers.model import Customer
from agatecross_standins.bench.limits import WINDOW_MS, allowed_calls, worst_window
from agatecross_standins.virtual_limits import VirtualLimits

FAULTS = st.sampled_from(
    ["cut", "heal", "kill", "kill home", "freeze", "freeze home", "lose", "limit"]
)
DAEMONS, RATE, BURST = 12, 100.0, 20.0


def act(fleet, fault, share):
    daemons = list(fleet.daemons.values())
    some = daemons[: max(1, int(share * DAEMONS))]
    match fault.split():
        case ["cut"]:
            fleet.cut(share)
        case ["heal"]:
            fleet.heal()
        case ["kill", *target]:
            struck = fleet.homes() if target else some
            fleet.kill([row for row in struck if row.is_running], 300 + 2_000 * share)
        case ["freeze", *target]:
            fleet.freeze(fleet.homes() if target else some, 3_000 * share)
        case ["lose"]:
            fleet.loss = 0.2 * share
        case ["limit"]:
            fleet.set_customers([Customer("ann", rate=RATE * (1 + share), burst=BURST)])


def offer_for(fleet, load, span, rng):
    """Offer so many times the limit's calls for a time."""
    until = fleet.now + span
    offer(fleet, fleet.customers["ann"], load * RATE / DAEMONS, until, rng)
    fleet.run_until(until)


@then("{count:d} runs of seed {number:d} keep every window of a hot customer within its limit")
def step_property(context, count, number):
    faults = st.lists(st.tuples(FAULTS, st.floats(0.1, 0.9), st.floats(1_500, 8_000)), max_size=5)

    @seed(number)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_example(faults, st.integers(0, 1_000))
    def play(plan, run_seed):
        # The highest limit that was in force binds the whole run.
        highest = max([RATE, *(RATE * (1 + share) for fault, share, _ in plan if fault == "limit")])
        customer = Customer("ann", rate=RATE, burst=BURST)
        fleet = VirtualLimits(DAEMONS, [customer], run_seed)
        fleet.run_until(START + 2_000)
        end = START + 6_000 + sum(wait for *_, wait in plan)
        offer(fleet, customer, 4 * RATE / DAEMONS, end, random.Random(run_seed))
        fleet.run_until(START + 4_000)
        for fault, share, wait in plan:
            act(fleet, fault, share)
            fleet.run_until(fleet.now + wait)
        fleet.run_until(end)
        limit = Customer("ann", rate=highest, burst=BURST)
        worst = worst_window(limit, [time for time, _ in fleet.arrivals])
        assert worst <= 1.0, (worst, plan)

    play()


@when(
    'a customer\'s calls surge {after:d} ms after "{fault}" hits {share:g} of the fleet, with seed '
    "{number:d}"
)
def step_surge(context, after, fault, share, number):
    rng = random.Random(number)
    context.customer = Customer("ann", rate=RATE, burst=BURST)
    context.fleet = fleet = VirtualLimits(DAEMONS, [context.customer], number)
    fleet.run_until(START + 2_000)
    offer_for(fleet, 0.5, 4_000, rng)
    act(fleet, fault, share)
    offer_for(fleet, 0.5, after, rng)
    offer_for(fleet, 4.0, 6_000, rng)


@then("no window of the customer has more than is allowed")
def step_surge_held(context):
    worst = worst_window(context.customer, [time for time, _ in context.fleet.arrivals])
    assert worst <= 1.0, worst


# The time that a configuration may take until it is in force at all daemons.
APPLY_MS = 3_000.0
SHARES = st.floats(0.1, 0.9)


class LimitsMachine(RuleBasedStateMachine):
    """Homes and reporters of a fleet with a hot customer, under faults and limits in any order."""

    @initialize(run_seed=st.integers(0, 1_000))
    def start(self, run_seed):
        self.rng = random.Random(run_seed)
        self.fleet = VirtualLimits(DAEMONS, [Customer("ann", rate=RATE, burst=BURST)], run_seed)
        self.limits = [(0.0, RATE)]
        self.checked = self.first = 0
        self.fleet.run_until(START + 2_000)
        self.run(2_000.0, 4.0)

    @rule(span=st.floats(100, 6_000), load=st.sampled_from((0.5, 4.0)))
    def run(self, span, load):
        offer_for(self.fleet, load, span, self.rng)

    @rule(fault=FAULTS, share=SHARES)
    def strike(self, fault, share):
        act(self.fleet, fault, share)
        self.limits.append((self.fleet.now, self.fleet.customers["ann"].rate))

    @rule()
    def restore(self):
        self.fleet.loss = 0.0
        self.fleet.set_customers([Customer("ann", rate=RATE, burst=BURST)])
        self.limits.append((self.fleet.now, RATE))

    def highest_limit(self, since, until):
        """Return the highest rate that was in force at some time of a span."""
        before = [rate for time, rate in self.limits if time <= since]
        return max(before[-1:] + [rate for time, rate in self.limits if since < time <= until])

    @invariant()
    def windows_hold(self):
        times = [time for time, _ in self.fleet.arrivals]
        for number in range(self.checked, len(times)):
            start = times[number] - WINDOW_MS
            while times[self.first] <= start:
                self.first += 1
            rate = self.highest_limit(start - APPLY_MS, times[number])
            calls = number - self.first + 1
            assert calls <= allowed_calls(rate, BURST), (calls, rate, times[number])
        self.checked = len(times)


@then("{count:d} stateful runs of {steps:d} steps keep every window within the limit of its time")
def step_stateful(context, count, steps):
    run_state_machine_as_test(
        LimitsMachine,
        settings=settings(
            max_examples=count,
            stateful_step_count=steps,
            derandomize=True,
            deadline=None,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
