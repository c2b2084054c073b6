import random
from collections import Counter

from behave import given, then, when

from agatecross_core.customers.model import Customer
from agatecross_core.limits.gate import CustomerGate
from agatecross_core.limits.home import LimitHome
from agatecross_core.limits.homes import FleetSize, choose_home
from agatecross_core.limits.meters import DemandMeter
from agatecross_core.limits.model import CustomerUse, LimitAnswer, LimitReport

SEED = 7
START = 1_000.0


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


@when(
    "a home gets reports of 100 calls a second from {count:d} daemons for 10 s, with a limit of "
    "{rate:g}"
)
def step_few_daemons(context, count, rate):
    ids = [f"d{number}" for number in range(count)]
    fleet = FleetSize("d0")
    fleet.update(frozenset(ids), frozenset(), START)
    home = LimitHome("0/1", fleet)
    home.set_customers({"ann": Customer("ann", rate=rate, burst=rate / 4)})
    context.shares = []
    for number in range(40 * count):
        # A daemon sends its first report when it chooses the home, from when on calls count.
        calls = round(25 / count * (number // count))
        report = LimitReport(
            "0/1", number // count + 1, False, (CustomerUse("ann", calls, calls, calls),)
        )
        answer = home.receive(report, ids[number % count], START + 250 * (number + 1) / count)
        context.shares.append(dict(answer.shares))


@then("no answer limits the customer")
def step_unlimited(context):
    assert not any(context.shares), context.shares


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


@then(
    "the home answers {least:d} to {most:d} daemons that did not report, none more than {times:d} "
    "times"
)
def step_pushed(context, least, most, times):
    # The demand is seen to grow over a report's period, so that some answers have too high a share.
    counts = Counter(context.pushed)
    assert least <= len(counts) <= most, counts
    assert max(counts.values(), default=0) <= times, counts
