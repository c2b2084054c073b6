import asyncio
from pathlib import Path

from behave import when
from platform_steps import poll_until, step_script

SERVING = ("u0", "u2")


async def begin_run(testbed, daemon, line, call_id):
    """Send a request; return its connection, and the upstream that runs it with its number."""
    host, _, port = testbed.sidecars[daemon].settings.callers.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    # The same body as other steps send, so that it is the same request.
    body = "body" if line.startswith("POST") else ""
    head = f"{line} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {call_id}\r\n"
    writer.write(f"{head}content-length: {len(body)}\r\n\r\n{body}".encode())
    await poll_until(lambda: any(u.runs[call_id] for u in testbed.upstreams), "the run")
    number = next(n for n, u in enumerate(testbed.upstreams) if u.runs[call_id])
    return reader, writer, number


def logged(testbed, daemon, event):
    """Return how often a daemon has logged an event."""
    lines = Path(testbed.log_paths()[daemon]).read_text().splitlines()
    return sum(f"event={event} " in line for line in lines)


async def restart_upstream(testbed, number):
    await testbed.upstreams[number].restart()
    await testbed.send_heartbeat(number)


@when('{count:d} callers of d{daemon:d} in turn leave "{line}", and its upstream crashes')
def step_leave_and_crash(context, count, daemon, line):
    testbed = context.testbed

    def is_left(number):
        calls = testbed.sidecars[number].exit.calls.values()
        return any(call.reply is None for call in calls)

    async def work():
        for turn in range(count):
            step_script(context, ",".join(SERVING), "hold")
            _, writer, number = await begin_run(testbed, daemon, line, f"left{turn}")
            writer.close()
            await poll_until(lambda n=number: is_left(n), "the cancellation")
            testbed.upstreams[number].crash()
            await poll_until(lambda t=turn: logged(testbed, 2, "strikes_learnt") > t, "the strike")
            await restart_upstream(testbed, number)

    testbed.run(work())


@when('both upstreams of the service have served "{line}"')
def step_both_served(context, line):
    testbed = context.testbed
    upstreams = [testbed.upstreams[int(name[1:])] for name in SERVING]

    async def work():
        while not all(upstream.runs for upstream in upstreams):
            for daemon in range(len(testbed.sidecars)):
                await testbed.send(daemon, line)

    testbed.run(work())


@when('the upstream that runs "{line}" for a caller of d{daemon:d} crashes, {count:d} times')
def step_crash_running(context, line, daemon, count):
    testbed = context.testbed

    async def work():
        for turn in range(count):
            step_script(context, ",".join(SERVING), "hold")
            reader, writer, number = await begin_run(testbed, daemon, line, f"crash{turn}")
            refused = logged(testbed, number, "upstream_unreachable")
            testbed.upstreams[number].crash()
            assert await reader.readline()
            await poll_until(
                lambda n=number, r=refused: logged(testbed, n, "upstream_unreachable") > r,
                "a refused connection",
            )
            writer.close()
            await restart_upstream(testbed, number)

    testbed.run(work())
