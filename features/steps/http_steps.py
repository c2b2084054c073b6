import asyncio
import logging as std_logging
import re
import socket
import struct
from unittest import mock

from absl import logging
from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings
from hypothesis import strategies as st

from agatecross_adapters.http_client import BodyTimeouts, ClientStream, TornadoHttpClient
from agatecross_adapters.http_fields import to_origin_form
from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_core.calls.model import Request, Response
from agatecross_core.errors import ExchangeError
from agatecross_core.ids import Address, Millis

ANY_LOCAL_PORT = Address("127.0.0.1:0")
STEP_TIMEOUT_SECONDS = 20.0
STATUS = re.compile(rb"HTTP/1\.1 (\d{3})")
PLAIN = b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na"


def expand(raw):
    text = re.sub(r"\{(.)\*(\d+)\}", lambda m: m[1] * int(m[2]), raw)
    return text.replace("~", "\r\n").encode()


class ListenerFixture:
    """Runs a listener in the test process and records the requests that its handler got."""

    def __init__(self):
        self.runner = asyncio.Runner()
        self.listener = TornadoHttpListener(Millis(300), Millis(300))
        self.seen = []
        self.started = asyncio.Event()
        self.cancelled = asyncio.Event()
        self.address = self.run(self._listen())

    def run(self, work):
        return self.runner.run(asyncio.wait_for(work, STEP_TIMEOUT_SECONDS))

    async def _listen(self):
        return self.listener.listen(ANY_LOCAL_PORT, self.handle)

    async def handle(self, request):
        self.seen.append(request)
        if request.path == "/fail":
            raise RuntimeError("handler")
        if request.path == "/wait":
            self.started.set()
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.set()
        if request.path == "/bad-field":
            return Response(200, (("X-Bad", "a\r\nb"),), b"")
        if request.path == "/length":
            return Response(200, (("Content-Length", "77"),), b"")
        return Response(200, (("X-Path", request.path[:100]),), b"ok")

    async def connect(self):
        return await asyncio.open_connection(*self.address.split(":"))

    async def exchange(self, raw, half_close=False):
        reader, writer = await self.connect()
        received = b""
        try:
            writer.write(raw)
            if half_close:
                writer.write_eof()
            while chunk := await reader.read(65536):
                received += chunk
        except ConnectionError:
            pass  # The listener closed before it had read the whole message.
        writer.close()
        return received

    def close(self):
        self.run(self.listener.close())
        self.runner.close()


@given("a listener")
def start_listener(context):
    context.listening = ListenerFixture()
    context.add_cleanup(context.listening.close)


@when('a client sends "{raw}"')
def send_raw(context, raw):
    listening = context.listening
    with mock.patch.object(logging.get_absl_logger(), "handle") as context.logged:
        context.received = listening.run(listening.exchange(expand(raw)))
    context.handled = list(listening.seen)


@then('the client sees the statuses "{statuses}" and the end of the connection')
def check_statuses(context, statuses):
    found = [match.decode() for match in STATUS.findall(context.received)]
    assert found == statuses.split(), context.received[:500]


@then('the client sees the statuses "" and the end of the connection')
def check_no_status(context):
    assert context.received == b"", context.received[:500]


@then("the handler saw {seen:d} requests and still answers")
def check_still_answers(context, seen):
    assert len(context.handled) == seen, context.handled
    answer = context.listening.run(context.listening.exchange(PLAIN))
    assert answer.startswith(b"HTTP/1.1 200"), answer


@then('the response has the field "{field}" and one line is logged')
def check_logged(context, field):
    assert field.encode() in context.received, context.received
    records = [call.args[0] for call in context.logged.call_args_list]
    errors = [r for r in records if r.levelno >= std_logging.ERROR]
    assert len(errors) == 1 and "handler_failed" in errors[0].getMessage(), errors


@then('the response has the field "{field}" and no body')
def check_head(context, field):
    head, _, body = context.received.partition(b"\r\n\r\n")
    assert field.encode() in head and body == b"", context.received


@then('the handler saw the fields "{names}" and the body "{body}"')
def check_fields(context, names, body):
    (request,) = context.handled
    assert [name for name, _ in request.headers] == names.split(","), request
    assert request.body == body.encode(), request


@then('the target "{target}" with the field "Host: {host}" becomes "{path}" at "{found}"')
def check_target(context, target, host, path, found):
    shown = to_origin_form(target, (("Accept", "*/*"), ("Host", host)))
    assert shown == (path, (("Accept", "*/*"), ("Host", found))), shown


@then('the handler saw the path "{path}" and the host "{host}"')
def check_path(context, path, host):
    (request,) = context.handled
    assert (request.path, request.header("Host")) == (path, host), request


@when("a client sends a request that waits and closes its connection")
def disconnect(context):
    async def run():
        _, writer = await context.listening.connect()
        writer.write(PLAIN.replace(b"/ ", b"/wait ", 1))
        await context.listening.started.wait()
        writer.close()

    context.listening.run(run())


@then("the handler is cancelled and the listener closes")
def check_cancelled(context):
    context.listening.run(context.listening.cancelled.wait())
    context.listening.run(context.listening.listener.close())


TOKENS = st.sampled_from(
    [
        "GET / HTTP/1.1~",
        "POST /x HTTP/1.1~",
        "Host: x~",
        "Content-Length: 3~",
        "Content-Length: 99~",
        "~",
        "abc",
        "Transfer-Encoding: chunked~",
        "3~abc~",
        "0~~",
        "Connection: close~",
        "Expect: 100-continue~",
        ": ~",
        "\0",
        "\n",
    ]
).map(expand)
MESSAGES = st.lists(TOKENS | st.binary(max_size=20), max_size=12).map(b"".join)


@then("a listener answers after each of {count:d} random messages")
def fuzz_listener(context, count):
    listening = ListenerFixture()
    context.add_cleanup(listening.close)

    @settings(derandomize=True, deadline=None, max_examples=count, database=None)
    @hypothesis_given(MESSAGES)
    def check(raw):
        received = listening.run(listening.exchange(raw, half_close=True))
        assert received == b"" or received.startswith(b"HTTP/1.1 "), received
        answer = listening.run(listening.exchange(PLAIN))
        assert answer.startswith(b"HTTP/1.1 200"), answer

    check()


class RawServer:
    """A server that passes each request of a connection to `answer`, which writes the response."""

    def __init__(self, answer):
        self.answer = answer
        self.connections = 0
        self.requests = 0
        self.idle = asyncio.Event()
        self.writers = []

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")
        return self

    async def __aexit__(self, *exc):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                await self.answer(self, writer)
                self.idle.set()
        except (asyncio.IncompleteReadError, ConnectionError):
            return


@given('a server that answers "{raw}" and then {then_}')
def start_raw_server(context, raw, then_):
    context.raw, context.then = expand(raw), then_


@given('a server that answers "" and then {then_}')
def start_silent_server(context, then_):
    context.raw, context.then = b"", then_


@when("a client sends {method} within {timeout:d} ms")
def send_to_raw_server(context, method, timeout):
    async def answer(server, writer):
        writer.write(context.raw)
        if context.then == "closes":
            writer.close()

    async def run():
        async with RawServer(answer) as server:
            client = TornadoHttpClient()
            request = Request(method, "/", (), b"")
            end = await exchange_outcome(client, server.address, request, timeout)
            assert (
                context.then != "waits"
                or not end.startswith("Exch")
                or not client.idle[server.address]
            ), "an unresponsive connection was kept"
            client.close()
            return end

    context.end = asyncio.run(asyncio.wait_for(run(), STEP_TIMEOUT_SECONDS))


@given("a server that sends a head and then {parts:d} parts of a body of {of:d}")
def start_slow_server(context, parts, of):
    context.parts, context.of = parts, of


@when("a client allows {stall:d} ms for each part and {total:d} ms for the body")
def send_with_body_timeouts(context, stall, total):
    async def answer(server, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % context.of)
        for _ in range(context.parts):
            await asyncio.sleep(0.1)
            writer.write(b"x")

    async def run():
        async with RawServer(answer) as server:
            client = TornadoHttpClient(body_timeouts=BodyTimeouts(Millis(stall), Millis(total)))
            end = await exchange_outcome(client, server.address, Request("GET", "/", (), b""), 400)
            client.close()
            return end

    context.end = asyncio.run(asyncio.wait_for(run(), STEP_TIMEOUT_SECONDS))


@then('the exchange ends with "{end}"')
def check_end(context, end):
    assert context.end == end, context.end


async def exchange_outcome(client, address, request, timeout):
    try:
        return str((await client.send(address, request, Millis(timeout))).status)
    except ExchangeError as error:
        return type(error).__name__


@given("a server whose connections {fault}")
def start_faulty_server(context, fault):
    context.fault = fault


@when("a client sends two POST requests one after the other")
def send_twice(context):
    context.found = asyncio.run(
        asyncio.wait_for(send_two_requests(context.fault), STEP_TIMEOUT_SECONDS)
    )


async def send_two_requests(fault):
    async def answer(server, writer):
        if fault == "answer late" and server.requests == 1:
            return
        if fault == "close on the second request" and server.requests == 2:
            writer.close()
            return
        writer.write(ANSWER)
        await writer.drain()

    async with RawServer(answer) as server:
        client = TornadoHttpClient()
        request = Request("POST", "/", (), b"")
        ends = [
            await exchange_outcome(
                client, server.address, request, 200 if "late" in fault else 9000
            )
        ]
        await server.idle.wait()
        await disturb_idle_connection(fault, server.writers[0], client.idle[server.address])
        with mock.patch.object(ClientStream, "is_usable", usable_check(fault)):
            ends.append(await exchange_outcome(client, server.address, request, 9000))
        client.close()
        return " ".join(ends), server.requests, server.connections


@then(
    'the exchanges end with "{ends}", the server got {requests:d} requests '
    "over {connections:d} connections"
)
def check_two_requests(context, ends, requests, connections):
    assert context.found == (ends, requests, connections), context.found


def usable_check(fault):
    if fault == "are reset after the check":
        return lambda stream, now: True
    return ClientStream.is_usable


async def disturb_idle_connection(fault, writer, idle):
    if fault == "answer late":
        writer.write(ANSWER)
    elif fault == "get data when idle":
        writer.write(b"HTTP/1.1 408 Request Timeout\r\n\r\n")
    elif fault == "are idle for too long":
        idle[0].idle_since -= 3600
    elif "reset" in fault:
        # A linger time of zero makes the kernel send a reset instead of an orderly end.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
    elif fault == "close when idle":
        writer.close()
    if idle and ("idle" in fault or "reset" in fault) and "long" not in fault:
        await wait_readable(idle[0].socket)


async def wait_readable(sock):
    loop = asyncio.get_running_loop()
    arrived = asyncio.Event()
    # The stream has registered its descriptor with the loop, so a duplicate is watched.
    with sock.dup() as watched:
        loop.add_reader(watched, arrived.set)
        try:
            await arrived.wait()
        finally:
            loop.remove_reader(watched)


@then("a call that is cancelled after each of {count:d} steps of the loop ends cancelled")
def check_cancelled_calls(context, count):
    async def answer(request):
        return Response(200, (), b"a")

    async def work():
        listener = TornadoHttpListener()
        address = listener.listen(ANY_LOCAL_PORT, answer)
        for steps in range(count):
            client = TornadoHttpClient()
            call = asyncio.ensure_future(
                client.send(address, Request("GET", "/", (), b""), Millis(5_000))
            )
            for _ in range(steps):
                await asyncio.sleep(0)
            if call.done():
                break
            call.cancel()
            await asyncio.wait([call], timeout=STEP_TIMEOUT_SECONDS)
            assert call.cancelled(), f"after {steps} steps: {call}"
            client.close()
        await listener.close()

    asyncio.run(work())
