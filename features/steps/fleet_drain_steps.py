import asyncio
import socket

from behave import given, then, when

from agatecross_adapters.http_server import TornadoHttpListener
from agatecross_core.calls.model import Response
from agatecross_core.ids import Address

LOCAL = Address("127.0.0.1:0")
STEP_SECONDS = 20.0
WHOLE = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd"
LARGE = b"x" * 3_000_000
FOLLOWING = {
    "another request": WHOLE,
    # More than a listener reads ahead while a request runs.
    "part of a large request": WHOLE.replace(b": 4", b": 900000") + b"x" * 100_000,
}


class Closing:
    """A listener in the test process and one raw connection to it.

    Blocking calls on the connection keep the loop, and so the listener, from running meanwhile.
    """

    def __init__(self):
        self.listener = TornadoHttpListener()
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


def run(work):
    return asyncio.run(asyncio.wait_for(work, STEP_SECONDS))


async def read_last_answer(following):
    async with Closing() as closing:
        closing.answer = LARGE
        closing.answering = False
        sock = closing.connect(receive_buffer=4096)
        with sock:
            sock.send(WHOLE + FOLLOWING[following])
            await until(lambda: closing.bodies)
            ending = asyncio.ensure_future(closing.listener.close())
            await until(lambda: closing.listener.closing)
            closing.answering = True
            received = b""
            # Reads only what lets the listener write the answer to its end, and then the rest.
            while closing.listener.running and len(received) < len(LARGE):
                await asyncio.sleep(0.001)
                received += await read_part(sock)
            received += await read_to_end(sock)
            await ending
            return received, len(closing.bodies)


@given("a listener that is about to close")
def start_closing(context):
    context.received = b""


@when("a slow reader gets the last answer of a connection after it sent {following}")
def read_slowly(context, following):
    context.received, context.handled = run(read_last_answer(following))


@then("the whole answer arrives")
def check_whole(context):
    _, _, body = context.received.partition(b"\r\n\r\n")
    assert body == LARGE, (len(body), context.received[-20:])


@then("one request was handled")
def check_handled(context):
    assert context.handled == 1, context.handled
