import asyncio
import errno
import socket
import struct
from dataclasses import replace
from unittest.mock import patch

from behave import then, when
from drain_steps import connect, connect_with_small_buffer
from platform_steps import poll_until

from agatecross_core.ids import Millis
from agatecross_standins.platform_upstream import Answer

# With this linger option, a close drops unsent bytes and resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def request_head(path, call_id, time_left):
    return (
        f"GET {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {call_id}\r\n"
        f"x-deadline-ms: {time_left}\r\n\r\n"
    ).encode()


@when("d{number:d} leaves while a call of its caller is open")
def step_leave_with_call(context, number):
    testbed = context.testbed
    sidecar, upstream = testbed.sidecars[number], testbed.upstreams[number]

    async def work():
        upstream.queue_answers([Answer.HOLD])
        holder = await connect(sidecar.settings.callers)
        context.caller = await connect(sidecar.settings.callers)
        context.draining = asyncio.ensure_future(sidecar.drain())
        holder.writer.write(request_head("/peer/1", "held", 1_900))
        await poll_until(lambda: upstream.runs["held"], "the open call")
        await poll_until(lambda: sidecar.exit.leaving, "the refusal of new calls")

    context.upstream = upstream
    testbed.run(work())


@when('its caller sends "{first}" and, in the same write, "{second}" after it')
def step_pipeline(context, first, second):
    caller = context.caller

    async def work():
        caller.writer.write(request_head(first, "first", 200) + request_head(second, "second", 200))
        context.answers = [await caller.read_answer(), await caller.read_answer()]
        context.upstream.released.set()
        await context.draining

    context.testbed.run(work())


@then("the caller got {status:d} and the end of the connection")
def step_last_answer(context, status):
    assert context.answers == [(status, False), None], context.answers


@then("no upstream ran the second request")
def step_not_passed_on(context):
    # The caller assumes that this request was not read and sends it again, whatever its method.
    assert not sum(upstream.runs["second"] for upstream in context.testbed.upstreams)


@when(
    "{resets:d} of {count:d} idle callers of d{number:d} reset their connections"
    " as the daemon ends all of them"
)
def step_reset_at_end(context, resets, count, number):
    listener = context.testbed.sidecars[number].entry.listener
    host, _, port = context.testbed.sidecars[number].settings.callers.rpartition(":")

    async def work():
        socks = []
        for _ in range(count):
            sock = socket.create_connection((host, int(port)))
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            socks.append(sock)
        await poll_until(
            lambda: len(listener.connections) == count, "a connection for every caller"
        )
        # The daemon's loop does not run between the resets and the end of the connections.
        for sock in socks[:resets]:
            sock.close()
        finishing = asyncio.ensure_future(listener.finish(Millis(300)))
        context.ends = []
        for sock in socks[resets:]:
            sock.setblocking(False)
            context.ends.append(await asyncio.get_running_loop().sock_recv(sock, 1))
            sock.close()
        await finishing

    context.testbed.run(work())


@then("the other {count:d} callers saw an orderly end")
def step_orderly(context, count):
    assert context.ends == [b""] * count, context.ends


@when('upstream "{name}" has one slot and holds the call in it')
def step_hold_slot(context, name):
    testbed, number = context.testbed, int(name[1:])
    sidecar, upstream = testbed.sidecars[number], testbed.upstreams[number]
    context.slot_sidecar, context.upstream = sidecar, upstream

    async def work():
        await testbed.send_heartbeat(number, slots=1)
        await poll_until(lambda: sidecar.exit.queue.slots == 1, "one slot")
        upstream.queue_answers([Answer.HOLD])
        context.holder = await connect(testbed.sidecars[0].settings.callers)
        context.holder.writer.write(request_head("/peer/1", "held", 5_000))
        await poll_until(lambda: upstream.runs["held"], "the running call")

    testbed.run(work())


@when(
    "d{number:d} stops with a grace time of {ms:d} ms while a call of d{entry:d} waits for the slot"
)
def step_stop_while_waiting(context, number, ms, entry):
    testbed = context.testbed
    sidecar, slot_sidecar = testbed.sidecars[number], context.slot_sidecar

    async def work():
        sidecar.settings = replace(sidecar.settings, grace=Millis(ms))
        caller = await connect(testbed.sidecars[entry].settings.callers)
        caller.writer.write(request_head("/peer/1", "waiting", 5_000))
        await poll_until(lambda: slot_sidecar.exit.pending > 1, "the waiting call")
        await sidecar.drain()
        await testbed.kill_daemon(number)
        context.waiting = await caller.read_answer()
        context.upstream.released.set()
        context.running = await context.holder.read_answer()

    testbed.run(work())


@then("the {call} call got {status:d}")
def step_call_status(context, call, status):
    answer = context.waiting if call == "waiting" else context.running
    assert answer is not None
    assert answer[0] == status, answer


@then("no upstream ran the waiting call")
def step_waiting_not_run(context):
    assert not sum(upstream.runs["waiting"] for upstream in context.testbed.upstreams)


@when('a caller of d{number:d} sends "GET {path}" {count:d} times and reads nothing')
def step_send_unread(context, number, path, count):
    testbed = context.testbed
    listener = testbed.sidecars[number].entry.listener
    # Padded so that each read of the daemon holds only a few requests.
    padding = "x" * 3_000

    async def work():
        caller = await connect_with_small_buffer(testbed.sidecars[number].settings.callers)
        for row in range(count):
            request = request_head(path, f"p{row}", 60_000).replace(b"\r\n\r\n", b"\r\nx-pad: ")
            caller.writer.write(request + padding.encode() + b"\r\n\r\n")
        await poll_until(lambda: listener.unsent, "unsent answers")
        (connection,) = listener.connections
        context.most_unsent = 0

        def settled():
            context.most_unsent = max(context.most_unsent, listener.unsent)
            return not (connection.requests.window.running or connection.transport.is_reading())

        try:
            await poll_until(
                lambda: settled() or total_runs(testbed) >= count, "the daemon to stop reading"
            )
        finally:
            context.answers = [await caller.read_answer() for _ in range(count)]
        caller.writer.close()

    testbed.run(work())


def total_runs(testbed):
    return sum(sum(upstream.runs.values()) for upstream in testbed.upstreams)


@then("d{number:d} stopped reading before it held {size:d} bytes for the caller")
def step_held(context, number, size):
    assert context.most_unsent < size, context.most_unsent


@then("the caller got every answer when it read again")
def step_every_answer(context):
    assert all(row is not None for row in context.answers)


@when('a caller of d{number:d} sends a request with "connection: close" and reads nothing')
def step_last_unread(context, number):
    testbed = context.testbed
    listener = testbed.sidecars[number].entry.listener

    async def work():
        listener.limits = replace(listener.limits, idle_timeout=Millis(300))
        caller = await connect_with_small_buffer(testbed.sidecars[number].settings.callers)
        request = request_head("/safe/1", "last", 900).replace(
            b"\r\n\r\n", b"\r\nconnection: close\r\n\r\n"
        )
        caller.writer.write(request)
        await poll_until(lambda: listener.unsent, "an unsent answer")
        await poll_until(lambda: not listener.connections, "the end of the connection")
        caller.writer.close()

    testbed.run(work())


@then("d{number:d} closed the connection after the idle timeout")
def step_closed(context, number):
    assert not context.testbed.sidecars[number].entry.listener.connections


@when("d{number:d} stops without free file descriptors while a caller of it is connected")
def step_no_descriptors(context, number):
    testbed = context.testbed
    sidecar = testbed.sidecars[number]

    async def work():
        caller = await connect(sidecar.settings.callers)
        await poll_until(lambda: sidecar.entry.listener.connections, "the connection")
        with patch("os.dup", side_effect=OSError(errno.EMFILE, "Too many open files")):
            draining = asyncio.ensure_future(sidecar.drain())
            reading = asyncio.ensure_future(caller.reader.read(1))
            await asyncio.wait((draining, reading), return_when=asyncio.FIRST_COMPLETED)
            caller.writer.close()
            await draining
            context.end = await reading

    testbed.run(work())


@then("the caller saw the orderly end of its connection")
def step_caller_end(context):
    assert context.end == b"", context.end
