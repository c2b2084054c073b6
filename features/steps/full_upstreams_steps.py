import asyncio

from behave import then, when

from agatecross_core.ids import Millis

# Longer than an upstream counts as perhaps crashed, after the last lost request.
OBSERVED_SECONDS = 2.0
# Longer than the entry daemon leaves out an upstream that refused a call.
PAUSE_SECONDS = 0.1
# Daemons and upstreams share one process here, which may stall for longer than the default.
SETTLE_TIME = Millis(200)


@when('"{name}" resets new connections while a caller of d1 sends "{line}" {count:d} times')
def step_full(context, name, line, count):
    testbed = context.testbed
    context.upstream = upstream = testbed.upstreams[int(name[1:])]
    testbed.sidecars[int(name[1:])].exit.pool.new_connections.settle_for = SETTLE_TIME

    async def work():
        upstream.full, upstream.accepted = True, 0
        for connection in list(upstream.connections):
            connection.transport.abort()
        statuses = []
        for _ in range(count):
            statuses.append((await testbed.send(1, line)).status)
            await asyncio.sleep(PAUSE_SECONDS)
        await asyncio.sleep(OBSERVED_SECONDS)
        return statuses

    context.statuses = testbed.run(work())


@then('it gets "{statuses}" and the upstream at most {connections:d} new connections')
def step_answers(context, statuses, connections):
    assert context.upstream.accepted <= connections, context.upstream.accepted
    assert context.statuses == [int(word) for word in statuses.split()], context.statuses


@then('the upstream ran nothing, and serves "{line}" once it has room')
def step_room(context, line):
    upstream = context.upstream
    assert not upstream.runs, upstream.runs
    upstream.full = False
    assert context.testbed.run(context.testbed.send(1, line)).status == 200
    assert sum(upstream.runs.values()) == 1, upstream.runs
