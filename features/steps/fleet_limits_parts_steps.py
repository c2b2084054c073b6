import asyncio
import random

from behave import given, then, when
from swim_driver import make_member

from agatecross_core.customers.model import Customer
from agatecross_core.limits.gate import RATE_SPAN, CustomerGate
from agatecross_core.limits.model import LimitAnswer, Standing
from agatecross_core.limits.presence import FleetPresence
from agatecross_core.limits.requests import UseReply
from agatecross_core.limits.usage import metric_rows
from agatecross_core.members.view import FleetView
from agatecross_core.states import MemberState
from agatecross_daemon.mailbox import Mailbox
from agatecross_daemon.messages import ViewChanged
from agatecross_daemon.relay_messages import CustomersInForce
from agatecross_daemon.tasks.fleet_limits_task import FleetLimitsTask

NOW = 1_000.0
CUSTOMER = Customer("ann", rate=10.0, burst=1.0)


def new_member(name, state=MemberState.ALIVE):
    return make_member(sum(name.encode()), state=state, daemon_id=name)


@when('the members become "{changes}" and the processes of "{refused}" have ended')
def step_members(context, changes, refused):
    context.presence = presence = FleetPresence("me")
    known = {}
    for change in changes.split("; "):
        states = dict(row.split(":") for row in change.split())
        rows = {name: new_member(name, MemberState(state)) for name, state in states.items()}
        known |= rows
        presence.update(rows, NOW)
    for name in refused.replace("-", "").split():
        presence.process_ended(known[name])


@then(
    'the known daemons are "{known}", the reachable ones "{reachable}" and the ended ones "{ended}"'
)
def step_presence(context, known, reachable, ended):
    rows = (context.presence.known, context.presence.reachable, context.presence.ended)
    expected = tuple(set(row.replace("-", "").split()) for row in (known, reachable, ended))
    assert rows == expected, rows


class ControlWithHomes:
    """Answers reports like homes that know the messages, or not at all."""

    def __init__(self, silent):
        self.silent = silent
        self.asked = set()

    def put(self, ask):
        peer, report = ask.payload.peer, ask.payload.message.report
        self.asked.add(peer)
        answer = LimitAnswer(report.slot, report.number, False, ())
        ask.answer(None if peer in self.silent else UseReply(answer))


@given('a limits task whose peers "{names}" are "{kinds}" homes')
def step_homes(context, names, kinds):
    members = {name: new_member(name) for name in names.split(",")}
    pairs = zip(members.values(), kinds.split(","), strict=True)
    silent = {member.control_address for member, kind in pairs if kind == "silent"}
    context.control, context.members = ControlWithHomes(silent), members


@then('the task first asks the home "{first}" and then follows "{home}"')
def step_follows(context, first, home):
    async def work():
        task = FleetLimitsTask(Mailbox(), "me", "dc", context.control, None, random.Random(1))
        task.mailbox.put(ViewChanged(FleetView(context.members), new_member("me")))
        running = asyncio.ensure_future(task.run())
        task.inbox.put(CustomersInForce({"ann": CUSTOMER}))
        gate = task.limits.gate
        while not any(
            row.home == home and row.standing("ann", row.answered_at or 0.0) is Standing.INFORMED
            for row in gate.reporters.values()
        ):
            await asyncio.sleep(0.01)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    asyncio.run(work())
    assert context.members[first].control_address in context.control.asked


@when("{count:d} customers call a daemon")
def step_calls(context, count):
    context.gate = CustomerGate("me", random.Random(1))
    rows = [Customer(f"c{number}", rate=10.0) for number in range(1, count + 1)]
    context.gate.set_customers({row.name: row for row in rows})
    for number, row in enumerate(rows, start=1):
        for _ in range(number):
            context.gate.admit(row, NOW)


@then('the metrics have the rows "{names}" that sum up to {calls:d} calls')
def step_rows(context, names, calls):
    rows = list(metric_rows(context.gate, NOW))
    assert [row.customer for row in rows] == names.split(), rows
    offered = sum(row.offered_per_second for row in rows) * RATE_SPAN / 1000
    assert round(offered) == calls, (offered, rows)


@then('the metrics have the rows "" that sum up to {calls:d} calls')
def step_no_rows(context, calls):
    step_rows(context, "", calls)
