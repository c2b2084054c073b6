import asyncio
import contextlib
import re
import socket
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_core.calls.model import Response
from agatecross_core.ids import Address, DaemonId, DataCentreName, Millis, RegionName, ServiceName
from agatecross_core.members.records import UpstreamInfo
from agatecross_core.states import DaemonState, UpstreamState
from agatecross_daemon import fleet_daemon
from agatecross_daemon.mailbox import Mailbox
from agatecross_daemon.settings import Settings
from agatecross_daemon.tasks.upstream_task import UpstreamAnnounced
from agatecross_daemon.telemetry import Telemetry

LOCAL = Address("127.0.0.1:0")
STEP_TIMEOUT_SECONDS = 20.0
LAST_READ_TIMEOUT = Millis(300)
REQUEST_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"
WHOLE_REQUEST = REQUEST_HEAD + b"abcd"
SENT_BEFORE_CLOSE = {
    "incomplete in its head": REQUEST_HEAD[:20],
    "incomplete in its body": REQUEST_HEAD + b"ab",
    "not read yet": WHOLE_REQUEST,
    "on a connection not accepted yet": WHOLE_REQUEST,
    "not sent yet on a new connection": b"",
}
PEER_CALL = WHOLE_REQUEST.replace(
    b"Host: x\r\n",
    b"Host: x\r\nAgatecross-Call-Id: 1\r\nAgatecross-Service: s\r\n"
    b"Agatecross-Deadline-Ms: 60000\r\n",
)
LARGE_BODY = b"x" * 3_000_000
SENT_AFTER_REQUEST = {
    "another request": WHOLE_REQUEST,
    # More than a listener reads ahead while it handles a request.
    "part of a large request": REQUEST_HEAD.replace(b": 4", b": 900000") + b"x" * 100_000,
}


class ClosingListener:
    """A listener in the test process and one raw connection to it.

    Blocking calls on the connection stop the loop, and with it the listener, while they last.
    """

    def __init__(self):
        self.listener = TornadoHttpListener(last_read_timeout=LAST_READ_TIMEOUT)
        self.bodies = []
        self.answer = b"ok"
        self.answering = True

    async def __aenter__(self):
        host, _, port = self.listener.listen(LOCAL, self.handle).rpartition(":")
        self.address = (host, int(port))
        return self

    async def __aexit__(self, *exc):
        await self.listener.close()

    async def handle(self, request):
        self.bodies.append(request.body)
        await until(lambda: self.answering)
        return Response(200, (), self.answer)

    def connect(self, receive_buffer=0):
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.connect(self.address)
        sock.setblocking(False)
        return sock

    async def use_once(self, sock):
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, WHOLE_REQUEST)
        received = b""
        while not received.endswith(b"ok"):
            received += await loop.sock_recv(sock, 65536)


async def until(condition):
    while not condition():
        await asyncio.sleep(0.001)


async def read_part(sock):
    try:
        return await asyncio.get_running_loop().sock_recv(sock, 65536)
    except ConnectionError:
        return b""


async def read_to_end(sock):
    received = b""
    while chunk := await read_part(sock):
        received += chunk
    return received


def run_step(work):
    return asyncio.run(asyncio.wait_for(work, STEP_TIMEOUT_SECONDS))


def send_rest(sock, data):
    # If the listener cut the request, the missing answer fails the scenario.
    with contextlib.suppress(ConnectionError):
        sock.send(data)


async def close_during_request(state, stays_incomplete):
    async with ClosingListener() as closing:
        sock = closing.connect()
        with sock:
            if "connection" not in state:
                await closing.use_once(sock)
            sock.send(SENT_BEFORE_CLOSE[state])
            if state == "not sent yet on a new connection":
                await until(lambda: closing.listener.collectors)
            if state == "incomplete in its body":
                await until(lambda: any(row.body for row in closing.listener.collectors))
            ending = asyncio.ensure_future(closing.listener.close())
            await until(lambda: closing.listener.closing)
            if not stays_incomplete:
                send_rest(sock, WHOLE_REQUEST[len(SENT_BEFORE_CLOSE[state]) :])
            received = await read_to_end(sock)
            await ending
            return received


async def close_idle_connection():
    async with ClosingListener() as closing:
        sock = closing.connect()
        with sock:
            await closing.use_once(sock)
            await closing.listener.close()
            return await read_to_end(sock)


async def read_last_answer(more_data):
    async with ClosingListener() as closing:
        closing.answer = LARGE_BODY
        closing.answering = False
        sock = closing.connect(receive_buffer=4096)
        with sock:
            sock.send(WHOLE_REQUEST + SENT_AFTER_REQUEST[more_data])
            await until(lambda: closing.bodies)
            ending = asyncio.ensure_future(closing.listener.close())
            await until(lambda: closing.listener.closing)
            closing.answering = True
            received = b""
            # Reads until the listener has written the whole answer, and then reads the rest.
            while closing.listener.handler_tasks and len(received) < len(LARGE_BODY):
                await asyncio.sleep(0.001)
                received += await read_part(sock)
            received += await read_to_end(sock)
            await ending
            return received, len(closing.bodies)


@given("a listener that is about to close")
def start_closing(context):
    context.received = b""


@when("a request is {state} as the listener closes")
def close_with_request(context, state):
    context.received = run_step(close_during_request(state, stays_incomplete=False))


@when("a request stays {state} as the listener closes")
def close_with_incomplete_request(context, state):
    context.received = run_step(close_during_request(state, stays_incomplete=True))


@when("a connection is idle as the listener closes")
def close_with_idle_connection(context):
    context.received = run_step(close_idle_connection())


@when("a slow reader gets the last answer of a connection after it sent {more_data}")
def read_slowly(context, more_data):
    context.received, context.handled = run_step(read_last_answer(more_data))


@then('the request is answered with "{status}" and the connection ends')
def check_answered(context, status):
    found = re.findall(rb"HTTP/1\.1 (\d{3})", context.received)
    assert found == [status.encode()], context.received
    assert b"Connection: close" in context.received, context.received


@then('the answer says "{outcome}" because of "{reason}"')
def check_outcome(context, outcome, reason):
    for field in (f"Agatecross-Outcome: {outcome}", f"Agatecross-Reason: {reason}"):
        assert field.encode() in context.received, context.received


@then("the connection ends without an answer")
def check_no_answer(context):
    assert context.received == b"", context.received


@then("the whole answer arrives")
def check_whole(context):
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert body == LARGE_BODY, (len(body), context.received[-20:])


@then("one request was handled")
def check_handled(context):
    assert context.handled == 1, context.handled


class IdleTask:
    """Replaces a task that the scenario does not need."""

    def __init__(self):
        self.mailbox = Mailbox()

    async def run(self):
        await asyncio.Event().wait()


class DaemonTasks:
    """The tasks of a daemon that serve HTTP; the others are idle or given by the scenario."""

    def __init__(self, **replaced_tasks):
        settings = Settings(
            DaemonId("d"), RegionName("r"), DataCentreName("c"), LOCAL, LOCAL, LOCAL, LOCAL, LOCAL
        )
        names = ("control", "members", "config", "claims")
        other_tasks = {name: replaced_tasks.get(name) or IdleTask() for name in names}
        telemetry = Telemetry(settings.telemetry, settings.daemon_id, settings.data_centre)
        self.tasks = replace(fleet_daemon.build_tasks(settings, telemetry), **other_tasks)

    def sockets(self):
        serving = (self.tasks.call, self.tasks.upstream, self.tasks.admin)
        return [getattr(task.listener, "wrapped", task.listener).sockets for task in serving]

    def addresses(self):
        return [sockets[0].getsockname() for sockets in self.sockets()]

    def connect(self, address):
        sock = socket.create_connection(address)
        sock.setblocking(False)
        return sock

    async def wait_until_listening(self):
        await until(lambda: all(self.sockets()))


async def exchange(sock):
    loop = asyncio.get_running_loop()
    await loop.sock_sendall(sock, WHOLE_REQUEST)
    return await loop.sock_recv(sock, 65536)


async def call_while_leaving(connection):
    daemon = DaemonTasks()
    running = [asyncio.ensure_future(task.run()) for task in daemon.tasks.all()]
    await daemon.wait_until_listening()
    callers, _, _ = daemon.addresses()
    kept = daemon.connect(callers)
    assert b"Connection: close" not in await exchange(kept)
    leaving = asyncio.ensure_future(fleet_daemon.shut_down(daemon.tasks))
    await until(lambda: daemon.tasks.admin.state is DaemonState.LEAVING)
    sock = kept if connection == "kept" else daemon.connect(callers)
    await asyncio.get_running_loop().sock_sendall(sock, WHOLE_REQUEST)
    received = await read_to_end(sock)
    kept.close()
    sock.close()
    await leaving
    for task in running:
        task.cancel()
    return received


@given("the tasks of a daemon")
def start_tasks(context):
    context.received = b""


@when("a caller sends a request on a {connection} connection while the daemon leaves")
def send_while_leaving(context, connection):
    context.received = run_step(call_while_leaving(connection))


async def addresses_open_after_shut_down():
    daemon = DaemonTasks()
    running = [asyncio.ensure_future(task.run()) for task in daemon.tasks.all()]
    await daemon.wait_until_listening()
    addresses = daemon.addresses()
    await fleet_daemon.shut_down(daemon.tasks)
    found = [address for address in addresses if accepts_connection(address)]
    for task in running:
        task.cancel()
    return found


def accepts_connection(address):
    try:
        socket.create_connection(address).close()
    except ConnectionRefusedError:
        return False
    return True


@when("the daemon has shut down")
def shut_down(context):
    context.accepting = run_step(addresses_open_after_shut_down())


@then("no listener of the daemon accepts a connection")
def check_closed(context):
    assert not context.accepting, context.accepting


class FailingTask(IdleTask):
    """A task that fails when `fails` is set."""

    def __init__(self):
        super().__init__()
        self.fails = asyncio.Event()

    async def run(self):
        await self.fails.wait()
        raise RuntimeError("task failed")


class SlowUpstream:
    """Replaces the client of the upstream; answers when `released` is set."""

    def __init__(self):
        self.called = asyncio.Event()
        self.released = asyncio.Event()

    async def send(self, address, request, timeout):
        self.called.set()
        await self.released.wait()
        return Response(200, (), b"ok")


async def fail_task_during_call(moment, answers=True):
    failing, upstream, stop = FailingTask(), SlowUpstream(), asyncio.Event()
    daemon = DaemonTasks(config=failing)
    daemon.tasks.upstream.client = upstream
    ending = asyncio.ensure_future(fleet_daemon.run_tasks(daemon.tasks, stop))
    await daemon.wait_until_listening()
    info = UpstreamInfo(ServiceName("s"), LOCAL, 4, 4, UpstreamState.READY)
    daemon.tasks.upstream.mailbox.put(UpstreamAnnounced(info))
    _, peers, _ = daemon.addresses()
    with daemon.connect(peers) as sock:
        await asyncio.get_running_loop().sock_sendall(sock, PEER_CALL)
        await upstream.called.wait()
        if moment == "while the daemon leaves":
            stop.set()
            await until(lambda: daemon.tasks.admin.state is DaemonState.LEAVING)
        failing.fails.set()
        if answers:
            await until(lambda: daemon.tasks.upstream.leaving or ending.done())
            upstream.released.set()
            received = await read_to_end(sock)
        else:
            received = b""
        await asyncio.wait([ending])
        return received, ending.exception()


@when("the configuration task fails {moment} while a peer's call runs")
def fail_task(context, moment):
    context.received, context.failure = run_step(fail_task_during_call(moment))


@when("the configuration task fails {moment} and a call waits that never ends")
def fail_with_waiting_call(context, moment):
    with mock.patch.object(fleet_daemon, "TASK_FAILURE_DRAIN_SECONDS", 0.1):
        _, context.failure = run_step(fail_task_during_call(moment, answers=False))


@then("the failure ends the daemon")
def check_failure(context):
    assert isinstance(context.failure, RuntimeError), context.failure
