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
from agatecross_core.limits.gate import CustomerGate
from agatecross_core.limits.home import LimitHome
from agatecross_core.limits.homes import FleetSize, choose_home
from agatecross_core.limits.meters import DemandMeter
from agatecross_core.limits.model import CustomerUse, LimitAnswer, LimitReport
from agatecross_standins.bench.limits import run, worst_window
from agatecross_standins.platform_config import config_record
from agatecross_standins.virtual_limits import VirtualLimits

SEED = 7
START = 1_000.0


@when('the bench plays "{event}" with {daemons:d} daemons and the seed {number:d}')
def step_play(context, event, daemons, number):
    context.result = run(daemons, event, number)


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


@then('a home with an empty directory answers the first report of "{daemon}"')
def step_first_report(context, daemon):
    home = LimitHome("0/1", FleetSize("d0"))
    home.set_customers({"ann": Customer("ann", rate=1.0)})
    report = LimitReport("0/1", 1, False, (CustomerUse("ann", 1, 1, 1),))
    assert home.receive(report, daemon, START).number == 1


@when('a home gets the reports "{reports}" of a daemon')
def step_reports(context, reports):
    customers = {name: Customer(name, rate=1e-6) for name in ("ann", "bob")}
    context.home = home = LimitHome("0/1", FleetSize("d0"))
    home.set_customers(customers)
    now = START
    for row in reports.split():
        if row == "wait":
            for _ in range(20):
                now += 100
                home.receive(LimitReport("0/1", int(now), False, ()), "d2", now)
            continue
        number, _, uses = row.partition(":")
        counts = [use.partition("=") for use in uses.split(",")]
        rows = tuple(CustomerUse(name, *[int(calls)] * 3) for name, _, calls in counts)
        home.receive(LimitReport("0/1", int(number), False, rows), "d1", now := now + 250)


@then('it has counted {ann:d} calls of "ann" and {bob:d} of "bob"')
def step_counted(context, ann, bob):
    # Nothing comes in at such a rate, so the tokens are what was used.
    pools = context.home.pools
    counted = [round(-pools[name].tokens) if name in pools else 0 for name in ("ann", "bob")]
    assert counted == [ann, bob], counted


@when("the home of a daemon is silent")
def step_silent_home(context):
    context.gate = gate = CustomerGate("d0", random.Random(SEED))
    gate.set_customers({"ann": Customer("ann", rate=1.0)})
    gate.set_peers(frozenset(("d0", "d1")), frozenset(("d1",)), frozenset(), START)
    context.sent = [row for step in range(30) for row in gate.tick(START + 100 * step)]


@then("the daemon sends it at least {count:d} reports before it gives it up")
def step_repeated(context, count):
    homes = [row.home for row in context.sent]
    assert homes[0] == "d1" and homes[-1] == "d0", homes
    assert homes.count("d1") >= count, homes


def homes_while(gate, now, span, reports):
    """Return the homes to which a gate reports; others report to it if `reports` says so."""
    homes = []
    for step in range(span // 100):
        if reports:
            gate.report_received("0/1")
        for row in gate.tick(now + 100 * step):
            homes.append(row.home)
            if not row.report.is_last:
                answer = LimitAnswer("0/1", row.report.number, False, ())
                gate.receive(answer, row.home, now + 100 * step)
    return homes


@given("a daemon to which the others of its fleet report")
def step_serving_daemon(context):
    daemons = frozenset(("d0", "d1", "d2"))
    context.me = me = choose_home("0/1", daemons)
    context.gate = gate = CustomerGate(me, random.Random(SEED))
    gate.set_customers({"ann": Customer("ann", rate=1.0)})
    gate.set_peers(daemons, daemons - {me}, frozenset(), START)
    assert homes_while(gate, START, 5_000, True)[-1] == me


@when("the others choose another home")
def step_others_choose(context):
    context.homes = homes_while(context.gate, START + 5_000, 3_000, False)


@then("the daemon reports to another home until they report to it again")
def step_joins(context):
    assert context.homes[-1] != context.me, context.homes
    assert homes_while(context.gate, START + 8_000, 1_000, True)[-1] == context.me


@when("a home gets reports of 100 calls a second for {span:d} ms")
def step_demand(context, span):
    meter = DemandMeter(START)
    for now in range(100, span + 1, 100):
        meter.add(10, START + now)
    context.demand = meter.rate(START + span)


@then("it measures between {least:d} and {most:d} calls a second")
def step_measured(context, least, most):
    assert least <= context.demand <= most, context.demand


@when('the daemons report {before:d} calls a second of "ann" for 3 s and {after:d} for 1 s')
def step_surge(context, before, after):
    ids = [f"d{number}" for number in range(20)]
    fleet = FleetSize("d0")
    fleet.update(frozenset(ids), frozenset(), START)
    home = LimitHome("0/1", fleet)
    home.set_customers({"ann": Customer("ann", rate=100.0, burst=25.0)})
    calls, context.pushed = 0.0, []
    for number in range(320):
        now = START + 12.5 * number
        calls += (before if number < 240 else after) / 80
        # Each daemon has a twentieth of the calls.
        use = CustomerUse("ann", round(calls / 20), round(calls / 20), round(calls / 20))
        home.receive(LimitReport("0/1", number // 20 + 1, False, (use,)), ids[number % 20], now)
        pushes = home.take_pushes(now)
        context.pushed += [daemon for daemon, _ in pushes] if number >= 240 else []


@then("the home answers {least:d} to {most:d} daemons that did not report")
def step_pushed(context, least, most):
    assert least <= len(context.pushed) <= most, context.pushed
    assert len(set(context.pushed)) == len(context.pushed), context.pushed


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

    async def send(caller, count, line, fields, pause):
        for number in range(count):
            context.answers[caller].append(await testbed.send(number % 3, line, fields))
            await asyncio.sleep(pause)

    async def work():
        context.answers = {"ann": [], "others": []}
        await send("ann", 60, "GET /safe/1", token["ann"], 0.02)
        await send("others", 5, "GET /safe/1", token["bob"], 0)
        await send("others", 5, "GET /open/1", (), 0)

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
