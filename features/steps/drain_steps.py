import asyncio
import re
import socket
from collections import Counter
from contextlib import suppress

from behave import given, then, when
from platform_steps import poll_until, send_while_held

from agatecross_core.ids import Millis
from agatecross_core.relay.drain import plan_drain
from agatecross_daemon.sidecar import run_tasks

CALLER_COUNT = 6
PIPELINED_REQUESTS = 3
RESPONSE_HEAD = re.compile(rb"HTTP/1\.1 (\d+) [^\r]*\r\n(.*?)\r\n\r\n", re.DOTALL)
CONTENT_LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class CallerResults:
    """The status that callers got for each request id, and the ids that got no answer."""

    def __init__(self):
        self.answered = {}
        self.unanswered = []
        self.refused_connections = 0


class RawConnection:
    """A caller's raw connection, which sends requests and reads complete answers."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.data = b""

    def send(self, line, call_id):
        method, path = line.split()
        body = b"body" if method == "POST" else b""
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: {call_id}\r\n"
            f"x-deadline-ms: 900\r\ncontent-length: {len(body)}\r\n\r\n".encode() + body
        )

    async def read_answer(self):
        """Return the status and whether the connection stays open, or None if it ended first."""
        while True:
            head = RESPONSE_HEAD.match(self.data)
            if head is not None:
                size = int(CONTENT_LENGTH.search(head[2])[1])
                if len(self.data) >= head.end() + size:
                    self.data = self.data[head.end() + size :]
                    return int(head[1]), b"connection: close" not in head[2].lower()
            try:
                chunk = await self.reader.read(65536)
            except ConnectionError:
                return None
            if not chunk:
                return None
            self.data += chunk


async def connect(address):
    host, _, port = address.rpartition(":")
    return RawConnection(*await asyncio.open_connection(host, int(port)))


async def send_and_read(connection, line, ids, results, fresh, count_runs):
    """Send pipelined requests and read their answers.

    Return whether the connection can be used again.
    """
    for call_id in ids:
        connection.send(line, call_id)
    keep = True
    for position, call_id in enumerate(ids):
        answer = await connection.read_answer() if keep else None
        if answer is not None:
            results.answered[call_id], keep = answer
            continue
        keep = False
        # If the connection ends while it is idle, or with an earlier answer, its caller sends the
        # request again, so the request counts as unanswered only if an upstream got it.
        may_cross_close = not fresh or position > 0
        if not may_cross_close or count_runs(call_id):
            results.unanswered.append(call_id)
    return keep


async def keep_sending(testbed, address, line, connection_kind, name, results, stopped):
    number, connection = 0, None
    ids_at_once = PIPELINED_REQUESTS if connection_kind == "pipelined" else 1

    def count_runs(call_id):
        return sum(upstream.runs[call_id] for upstream in testbed.upstreams)

    while not stopped.is_set():
        ids = [f"{name}-{number + offset}" for offset in range(ids_at_once)]
        number += ids_at_once
        fresh = connection is None
        if fresh:
            try:
                connection = await connect(address)
            except ConnectionError:
                results.refused_connections += 1
                await asyncio.sleep(0.01)
                continue
        keep = await send_and_read(connection, line, ids, results, fresh, count_runs)
        if connection_kind == "new" or not keep:
            connection.writer.close()
            connection = None
    if connection is not None:
        connection.writer.close()


@when("upstreams work {ms:d} ms on each call")
def step_work(context, ms):
    for upstream in context.testbed.upstreams:
        upstream.work_seconds = ms / 1000


@when("upstreams answer with {size:d} bytes")
def step_body_size(context, size):
    for upstream in context.testbed.upstreams:
        upstream.body_bytes = size


@when("messages from d{speaker:d} reach d{listener:d} {ms:d} ms late")
def step_delay_messages(context, listener, speaker, ms):
    testbed = context.testbed

    def delay_frames(connection):
        deliver = connection.on_frame

        def deliver_if_open(connection, frame):
            if connection.open:
                deliver(connection, frame)

        def schedule_frame(connection, frame):
            asyncio.get_running_loop().call_later(ms / 1000, deliver_if_open, connection, frame)

        connection.on_frame = schedule_frame

    async def work():
        peers = testbed.sidecars[listener].peers
        delay_frames(peers.links[f"d{speaker}"].connection)
        for connection, row in peers.inbound.connections.items():
            if row.daemon_id == f"d{speaker}":
                delay_frames(connection)

    testbed.run(work())


@when(
    'callers of d{number:d} keep sending "{line}" on {connection_kind} connections'
    " while d{leaving:d} stops"
)
def step_keep_sending(context, number, line, connection_kind, leaving):
    testbed, results = context.testbed, CallerResults()
    address = testbed.sidecars[number].settings.callers

    async def work():
        stopped = asyncio.Event()
        callers = [
            asyncio.ensure_future(
                keep_sending(testbed, address, line, connection_kind, f"c{row}", results, stopped)
            )
            for row in range(CALLER_COUNT)
        ]
        await poll_until(lambda: len(results.answered) > CALLER_COUNT, "the first answers")
        await testbed.sidecars[leaving].drain()
        await testbed.kill_daemon(leaving)
        stopped.set()
        await asyncio.gather(*callers)

    testbed.run(work())
    context.results = results
    context.statuses_seen = Counter(results.answered.values())


@then("no request that d{number:d} accepted ended without an answer")
def step_none_unanswered(context, number):
    assert context.results.answered
    assert not context.results.unanswered, context.results.unanswered


@then("no request that was refused as not run has run")
def step_not_run(context):
    refused = [call_id for call_id, status in context.results.answered.items() if status == 503]
    ran = [i for i in refused if sum(u.runs[i] for u in context.testbed.upstreams)]
    assert not ran, ran


@then("every answer was {status:d} and none was missing")
def step_all_answered(context, status):
    assert set(context.statuses_seen) == {status}, context.statuses_seen
    assert not context.results.unanswered, context.results.unanswered


@when(
    'a caller of d{number:d} reads the answer to "{line}" only after the daemon refuses new calls'
)
def step_slow_reader(context, number, line):
    testbed = context.testbed
    sidecar = testbed.sidecars[number]

    async def work():
        connection = await connect_with_small_buffer(sidecar.settings.callers)
        connection.send(line, "slow")
        await poll_until(lambda: sidecar.entry.listener.unfinished_work().unsent, "unsent bytes")
        draining = asyncio.ensure_future(sidecar.drain())
        await poll_until(
            lambda: sidecar.exit.leaving or draining.done(), "the refusal of new calls"
        )
        await asyncio.sleep(0.2)
        context.ended_early = draining.done()
        context.answer = await connection.read_answer()
        await draining

    testbed.run(work())


async def connect_with_small_buffer(address):
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return RawConnection(*await asyncio.open_connection(sock=sock, limit=4096))


@then("the answer is whole")
def step_whole(context):
    # The process ends after the drain, so bytes that are unsent by then would be lost.
    assert not context.ended_early
    assert context.answer is not None
    assert context.answer[0] == 200


@when('a caller of d{number:d} sends "{line}" while the source task of d{failing:d} fails')
def step_task_fails(context, number, line, failing):
    testbed = context.testbed

    async def run_until_failure():
        sidecar = testbed.sidecars[failing]
        # The tasks that the fleet started go on; in the run below, the source task fails at once.
        sidecar.store.run = raise_fault
        for task in (sidecar.exit, sidecar.peers):
            task.run = asyncio.Event().wait
        with suppress(ValueError):
            await run_tasks(sidecar, asyncio.Event())

    context.answer = testbed.run(send_while_held(testbed, number, line, run_until_failure))


async def raise_fault():
    raise ValueError("a fault of the daemon")


@given("a stop whose open calls end {open_until:d} ms after SIGTERM")
def step_plan(context, open_until):
    context.plan = plan_drain(Millis(0), Millis(6_000)).with_open_calls(Millis(open_until))


@then("a call that arrives after {at:d} ms with {left:d} ms left is {taken}")
def step_check_admission(context, at, left, taken):
    assert context.plan.admits(Millis(at), Millis(at + left)) == (taken == "taken"), context.plan
