import asyncio
import re
import socket
from collections import Counter
from contextlib import suppress

from behave import given, then, when
from platform_steps import held, until

from agatecross_core.ids import Millis
from agatecross_core.relay.drain import plan_drain
from agatecross_daemon.sidecar import run_tasks

CALLERS = 6
PIPELINED = 3
HEAD = re.compile(rb"HTTP/1\.1 (\d+) [^\r]*\r\n(.*?)\r\n\r\n", re.DOTALL)
LENGTH = re.compile(rb"content-length: (\d+)", re.IGNORECASE)


class Tally:
    """What callers saw: the status of each request id, and the ids that got no answer."""

    def __init__(self):
        self.answered = {}
        self.unanswered = []
        self.refused = 0


class Connection:
    """A caller's connection that reads whole answers."""

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

    async def answer(self):
        """Return status and whether the connection stays open; None when it ended before."""
        while True:
            head = HEAD.match(self.data)
            if head is not None:
                size = int(LENGTH.search(head[2])[1])
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
    return Connection(*await asyncio.open_connection(host, int(port)))


async def exchange(connection, line, ids, tally, fresh, runs):
    """Send requests behind one another; return whether the connection can be used again."""
    for call_id in ids:
        connection.send(line, call_id)
    keep = True
    for position, call_id in enumerate(ids):
        answer = await connection.answer() if keep else None
        if answer is not None:
            tally.answered[call_id], keep = answer
            continue
        keep = False
        # A request that crosses the end of an idle connection, or stands behind an answer that
        # ends it, is sent again by its caller, unless it was passed on.
        crossed = not fresh or position > 0
        if not crossed or runs(call_id):
            tally.unanswered.append(call_id)
    return keep


async def keep_sending(mini, address, line, kind, name, tally, stopped):
    number, connection = 0, None
    ids_at_once = PIPELINED if kind == "pipelined" else 1

    def runs(call_id):
        return sum(upstream.runs[call_id] for upstream in mini.upstreams)

    while not stopped.is_set():
        ids = [f"{name}-{number + offset}" for offset in range(ids_at_once)]
        number += ids_at_once
        fresh = connection is None
        if fresh:
            try:
                connection = await connect(address)
            except ConnectionError:
                tally.refused += 1
                await asyncio.sleep(0.01)
                continue
        keep = await exchange(connection, line, ids, tally, fresh, runs)
        if kind == "new" or not keep:
            connection.writer.close()
            connection = None
    if connection is not None:
        connection.writer.close()


@when("upstreams work {ms:d} ms on each call")
def step_work(context, ms):
    for upstream in context.mini.upstreams:
        upstream.work_seconds = ms / 1000


@when("upstreams answer with {size:d} bytes")
def step_size(context, size):
    for upstream in context.mini.upstreams:
        upstream.body_bytes = size


@when("d{listener:d} hears from d{speaker:d} {ms:d} ms late")
def step_late(context, listener, speaker, ms):
    mini = context.mini

    def delay(connection):
        deliver = connection.on_frame

        def arrive(connection, frame):
            if connection.open:
                deliver(connection, frame)

        def later(connection, frame):
            asyncio.get_running_loop().call_later(ms / 1000, arrive, connection, frame)

        connection.on_frame = later

    async def work():
        peers = mini.sidecars[listener].peers
        delay(peers.links[f"d{speaker}"].connection)
        for connection, row in peers.inbound.connections.items():
            if row.daemon_id == f"d{speaker}":
                delay(connection)

    mini.run(work())


@when('callers of d{number:d} keep sending "{line}" on {kind} connections while d{leaving:d} stops')
def step_keep_sending(context, number, line, kind, leaving):
    mini, tally = context.mini, Tally()
    address = mini.sidecars[number].settings.callers

    async def work():
        stopped = asyncio.Event()
        callers = [
            asyncio.ensure_future(
                keep_sending(mini, address, line, kind, f"c{row}", tally, stopped)
            )
            for row in range(CALLERS)
        ]
        await until(lambda: len(tally.answered) > CALLERS, "the first answers")
        await mini.sidecars[leaving].drain()
        await mini.kill(leaving)
        stopped.set()
        await asyncio.gather(*callers)

    mini.run(work())
    context.tally = tally
    context.statuses_seen = Counter(tally.answered.values())


@then("no request that d{number:d} took ended without an answer")
def step_none_cut(context, number):
    assert context.tally.answered
    assert not context.tally.unanswered, context.tally.unanswered


@then("no request that was refused as not run has run")
def step_not_run(context):
    refused = [call_id for call_id, status in context.tally.answered.items() if status == 503]
    ran = [i for i in refused if sum(u.runs[i] for u in context.mini.upstreams)]
    assert not ran, ran


@then("every answer was {status:d} and none was missing")
def step_all(context, status):
    assert set(context.statuses_seen) == {status}, context.statuses_seen
    assert not context.tally.unanswered, context.tally.unanswered


@when('a caller of d{number:d} reads the answer to "{line}" only after it took leave')
def step_slow_reader(context, number, line):
    mini = context.mini
    sidecar = mini.sidecars[number]

    async def work():
        connection = await connect_narrow(sidecar.settings.callers)
        connection.send(line, "slow")
        await until(lambda: sidecar.entry.listener.unfinished_work().unsent, "bytes that wait")
        draining = asyncio.ensure_future(sidecar.drain())
        await until(lambda: sidecar.exit.leaving or draining.done(), "the end of the moves")
        await asyncio.sleep(0.2)
        context.ended_early = draining.done()
        context.answer = await connection.answer()
        await draining

    mini.run(work())


async def connect_narrow(address):
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return Connection(*await asyncio.open_connection(sock=sock, limit=4096))


@then("the answer is whole")
def step_whole(context):
    # After the drain the process ends, so bytes that are still unsent then are lost.
    assert not context.ended_early
    assert context.answer is not None
    assert context.answer[0] == 200


@when('a caller of d{number:d} sends "{line}" while the source task of d{failing:d} fails')
def step_task_fails(context, number, line, failing):
    mini = context.mini

    async def ended():
        sidecar = mini.sidecars[failing]
        # The tasks of the fleet go on; those of the daemon's own run fail at once.
        sidecar.source.run = fail
        for task in (sidecar.exit, sidecar.peers):
            task.run = asyncio.Event().wait
        with suppress(ValueError):
            await run_tasks(sidecar, asyncio.Event())

    context.answer = mini.run(held(mini, number, line, ended))


async def fail():
    raise ValueError("a fault of the daemon")


@given("a stop whose open calls are over {open_until:d} ms after SIGTERM")
def step_plan(context, open_until):
    context.plan = plan_drain(Millis(0), Millis(6_000)).with_open_calls(Millis(open_until))


@then("a call that arrives after {at:d} ms with {left:d} ms left is {taken}")
def step_admits(context, at, left, taken):
    assert context.plan.admits(Millis(at), Millis(at + left)) == (taken == "taken"), context.plan
