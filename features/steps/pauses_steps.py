import asyncio
import os
import socket
import time

from behave import then, when
from frames_steps import new_handover
from platform_steps import poll_until

from agatecross_core.calls.model import Response
from agatecross_core.ids import HandoverId, Millis
from agatecross_core.pauses import PauseClock
from agatecross_daemon.relay_messages import RunHandover


@when('a daemon started at 0 ticks and reads at "{events}"')
def step_events(context, events):
    clock, context.waited = PauseClock(Millis(0)), []
    for event in events.split("; "):
        word, now = event.split()
        if word == "tick":
            clock.tick(Millis(float(now)))
        else:
            context.waited.append(clock.waited(Millis(float(now))))


@then('what it reads has waited "{waited}" ms')
def step_waited(context, waited):
    assert context.waited == [float(word) for word in waited.split()], context.waited


@when(
    'a caller of d1 has sent "{line}" with {left:d} ms left, and d1 and its peers are paused for '
    "{pause:d} ms"
)
def step_paused(context, line, left, pause):
    testbed = context.testbed
    host, _, port = testbed.sidecars[1].settings.callers.rpartition(":")

    async def work():
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(0.2)
        head = f"{line} HTTP/1.1\r\nhost: a.example\r\nx-request-id: paused\r\n"
        sock = socket.socket(fileno=os.dup(writer.get_extra_info("socket").fileno()))
        sock.send(f"{head}x-deadline-ms: {left}\r\ncontent-length: 0\r\n\r\n".encode())
        sock.close()
        # All daemons of the test share this thread, so none of them runs meanwhile.
        time.sleep(pause / 1000)
        status = int((await reader.readline()).split()[1])
        writer.close()
        return Response(status, (), b"")

    context.answer = testbed.run(work())


@when(
    'a handover to upstream "{name}" with {left:d} ms left arrives during a pause of {pause:d} ms'
)
def step_handover_paused(context, name, left, pause):
    exit_task = context.testbed.sidecars[int(name[1:])].exit
    context.results = []
    handover = new_handover(HandoverId(78), name, Millis(left))

    async def work():
        await asyncio.sleep(0.2)
        time.sleep(pause / 1000)
        exit_task.mailbox.put(
            RunHandover(handover, lambda _, result: context.results.append(result))
        )
        await poll_until(lambda: context.results, "the result of the handover")

    context.testbed.run(work())


@then('it ended as "{end}", and upstream "{name}" began {runs:d} runs')
def step_handover_ended(context, end, name, runs):
    (result,) = context.results
    assert (result.reason.value if result.reason else result.outcome.value) == end, result
    found = sum(context.testbed.upstreams[int(name[1:])].runs.values())
    assert found == runs, found
