import asyncio

from behave import when


async def send_at_once(testbed, number, line, count):
    return await asyncio.gather(*(testbed.send(number, line) for _ in range(count)))


@when('upstreams "{names}" go silent on the connections of {count:d} served "{line}"')
def step_silent(context, names, count, line):
    testbed = context.testbed

    async def work():
        answers = await send_at_once(testbed, 0, line, count)
        assert {row.status for row in answers} == {200}, answers
        for name in names.split(","):
            for connection in testbed.upstreams[int(name[1:])].connections:
                # The kernel goes on acknowledging what it receives.
                connection.transport.pause_reading()

    testbed.run(work())


@when(
    'callers of d{number:d} send "{line}" {count:d} times at once, until none fails in at most '
    "{most:d} batches"
)
def step_until_served(context, number, line, count, most):
    async def work():
        for _ in range(most):
            context.answers = await send_at_once(context.testbed, number, line, count)
            if {row.status for row in context.answers} == {200}:
                return
            await asyncio.sleep(0.05)

    context.testbed.run(work())
