import asyncio

from behave import then, when
from drain_steps import connect
from platform_steps import until

from agatecross_standins.platform_upstream import Answer


def head(path, call_id, left):
    return (
        f"GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {call_id}\r\n"
        f"x-deadline-ms: {left}\r\n\r\n"
    ).encode()


@when("d{number:d} takes leave while a call of its caller is open")
def step_leave_with_call(context, number):
    mini = context.mini
    sidecar, upstream = mini.sidecars[number], mini.upstreams[number]

    async def work():
        upstream.plan([Answer.HOLD])
        holder = await connect(sidecar.settings.callers)
        context.caller = await connect(sidecar.settings.callers)
        context.draining = asyncio.ensure_future(sidecar.drain())
        holder.writer.write(head("/peer/1", "held", 1_900))
        await until(lambda: upstream.runs["held"], "the open call")
        await until(lambda: sidecar.exit.leaving, "the leave")

    context.upstream = upstream
    mini.run(work())


@when('its caller sends "{first}" and, in the same write, "{second}" behind it')
def step_pipeline(context, first, second):
    caller = context.caller

    async def work():
        caller.writer.write(head(first, "first", 200) + head(second, "second", 200))
        context.answers = [await caller.answer(), await caller.answer()]
        context.upstream.released.set()
        await context.draining

    context.mini.run(work())


@then("the caller got {status:d} and the end of the connection")
def step_last_answer(context, status):
    assert context.answers == [(status, False), None], context.answers


@then("no upstream ran the request behind it")
def step_not_passed_on(context):
    # Its caller takes it as unread and sends it again, whatever its kind.
    assert not sum(upstream.runs["second"] for upstream in context.mini.upstreams)
