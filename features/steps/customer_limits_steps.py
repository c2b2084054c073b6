import asyncio
import random
from pathlib import Path

from behave import given, then, when
from customers_steps import OPEN_ROUTE, write_record
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_example
from hypothesis import strategies as st
from platform_steps import poll_until, start_testbed

from agatecross_adapters.http_client import TornadoHttpClient
from agatecross_cli.command import Context
from agatecross_cli.commands import customers
from agatecross_core.calls.model import Request
from agatecross_core.customers.model import Customer
from agatecross_core.limits.home import LimitHome
from agatecross_core.limits.homes import FleetSize
from agatecross_core.limits.model import CustomerUse, LimitReport
from agatecross_standins.bench.limits import run, worst_window
from agatecross_standins.platform_config import config_record
from agatecross_standins.virtual_limits import VirtualLimits

SEED = 7
START = 1_000.0


@when('the bench plays "{event}" with {daemons:d} daemons')
def step_play(context, event, daemons):
    context.result = run(daemons, event, SEED)


@then("no window has more than {window:g} of what is allowed, and {due:g} of what is due passes")
def step_result(context, window, due):
    assert context.result.window <= window, context.result
    assert context.result.due >= due, context.result


def offer(fleet, customer, calls, until, rng):
    """Offer so many calls a second to each daemon."""
    for daemon in fleet.daemons.values():
        now = fleet.now
        while (now := now + rng.expovariate(calls / 1000)) < until:
            fleet.at(now, lambda daemon=daemon: fleet.call(daemon, customer, True))


@when(
    "a customer with the limit {rate:g} and burst {burst:g} sends {calls:d} calls a second to each "
    "daemon, {alone:d} of them alone"
)
def step_offer(context, rate, burst, calls, alone):
    customer = Customer("ann", rate=rate, burst=burst)
    context.fleet = fleet = VirtualLimits(10, [customer], SEED)
    for number, daemon in enumerate(list(fleet.daemons.values())[:alone]):
        daemon.group = number + 1
    fleet.see_all_peers()
    offer(fleet, customer, calls, START + 20_000, random.Random(SEED))
    fleet.run_until(START + 20_500)


@then("between {least:d} and {most:d} of its calls are admitted from the 5th second on")
def step_admitted(context, least, most):
    admitted = sum(time >= START + 5_000 for time, _ in context.fleet.arrivals)
    assert least * 0.95 <= admitted <= most * 1.05, admitted


FAULTS = st.sampled_from(
    ["cut", "heal", "kill", "kill home", "freeze", "freeze home", "lose", "limit"]
)
DAEMONS, RATE, BURST = 12, 100.0, 20.0


def act(fleet, fault, share):
    daemons = list(fleet.daemons.values())
    some = daemons[: max(1, int(share * DAEMONS))]
    match fault:
        case "cut":
            fleet.cut(share)
        case "heal":
            fleet.heal()
        case "kill":
            fleet.kill([row for row in some if row.is_running], 300 + 2_000 * share)
        case "kill home":
            fleet.kill([row for row in fleet.homes() if row.is_running], 300 + 2_000 * share)
        case "freeze":
            fleet.freeze(some, 3_000 * share)
        case "freeze home":
            fleet.freeze(fleet.homes(), 3_000 * share)
        case "lose":
            fleet.loss = 0.2 * share
        case "limit":
            fleet.set_customers([Customer("ann", rate=RATE * (1 + share), burst=BURST)])


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


@then('a home that knows no daemons answers the first report of "{daemon}"')
def step_first_report(context, daemon):
    home = LimitHome("0/1", FleetSize("d0"))
    home.set_customers({"ann": Customer("ann", rate=1.0)})
    report = LimitReport("0/1", 1, False, (CustomerUse("ann", 1, 1, 1),))
    assert home.receive(report, daemon, START).number == 1


@given('a platform fleet in which "ann" may send 1 call a second and a burst of 2')
def step_limited_fleet(context):
    start_testbed(context, False, 30)
    tenants = (
        {"name": "ann", "keys": ["k-ann"], "ratePerS": 1, "burst": 2},
        {"name": "bob", "keys": ["k-bob"]},
    )
    write_record(context, config_record(8, [OPEN_ROUTE], tenants=tenants))

    def informed():
        gates = [sidecar.limits.gate for sidecar in context.testbed.sidecars]
        return all(
            reporter.informed_at is not None
            for gate in gates
            for reporter in gate.reporters.values()
        ) and all(gate.reporters for gate in gates)

    context.testbed.run(poll_until(informed, "an answer of the home at each daemon"))


@when('callers of all daemons send 60 calls of "ann", 5 of "bob" and 5 without a key')
def step_send_all(context):
    testbed = context.testbed
    token = {name: (("Authorization", f"Token k-{name}"),) for name in ("ann", "bob")}

    async def work():
        context.answers = {"ann": [], "others": []}
        for number in range(60):
            context.answers["ann"].append(
                await testbed.send(number % 3, "GET /safe/1", token["ann"])
            )
            await asyncio.sleep(0.02)
        for number in range(5):
            context.answers["others"].append(
                await testbed.send(number % 3, "GET /safe/1", token["bob"])
            )
            context.answers["others"].append(await testbed.send(number % 3, "GET /open/1"))

    testbed.run(work())


@then('between {least:d} and {most:d} calls of "ann" are served, and the upstreams ran just these')
def step_served(context, least, most):
    served = sum(answer.status == 200 for answer in context.answers["ann"])
    assert least <= served <= most, served
    names = [
        fields.get("x-tenant")
        for upstream in context.testbed.upstreams
        for fields in upstream.received_requests
    ]
    assert names.count("ann") == served, (names, served)


@then('every other call of "ann" got 429 with a time to come back between {least:g} and {most:g} s')
def step_refused(context, least, most):
    refused = [answer for answer in context.answers["ann"] if answer.status != 200]
    assert refused
    for answer in refused:
        times = [float(value) for name, value in answer.headers if name.lower() == "retry-after"]
        assert answer.status == 429 and len(times) == 1 and least <= times[0] <= most, answer


@then('all calls of "bob" and those without a key are served')
def step_others(context):
    assert all(answer.status == 200 for answer in context.answers["others"]), context.answers


@then('a daemon has logged "{event}" with "{fields}"')
@then('the home has logged "{event}" with "{fields}"')
def step_logged(context, event, fields):
    for sidecar in context.testbed.sidecars:
        sidecar.log.flush()
    lines = [
        line
        for path in context.testbed.log_paths()
        for line in Path(path).read_text().splitlines()
        if f"event={event} " in line and fields in line
    ]
    assert lines


@then(
    "the client's customers at the metrics addresses "
    'show the refusals of "{name}" and no "{other}"'
)
def step_customers(context, name, other):
    async def work():
        rows = []
        for sidecar in context.testbed.sidecars:
            client = Context(None, TornadoHttpClient(), sidecar.settings.metrics, 1.0)
            rows += (await customers.run(client, ())).body["customers"]
        return rows

    rows = context.testbed.run(work())
    assert {row.customer for row in rows} == {name}, rows
    refused = sum(answer.status == 429 for answer in context.answers[name])
    assert sum(row.refused for row in rows) == refused, (rows, refused)


@then("the metrics of a daemon have '{text}'")
def step_metrics(context, text):
    async def work():
        request = Request("GET", "/metrics", (), b"")
        address = context.testbed.sidecars[0].settings.metrics
        return await TornadoHttpClient().send(address, request, 2_000.0)

    assert text in context.testbed.run(work()).body.decode()
