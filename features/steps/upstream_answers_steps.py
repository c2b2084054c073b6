import asyncio
import socket
import struct
import time

from behave import then, when
from frames_steps import new_handover

from agatecross_adapters.upstream_pool import UpstreamPool
from agatecross_core.ids import HandoverId, Millis
from agatecross_core.relay.model import RelayResponse
from agatecross_platform.front_end import HEADER_NAMES

BODY = b"body" * 3
FIELDS = b"x-response-stamp: s\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\n%stransfer-encoding: chunked\r\n\r\n" % FIELDS
LINGER_OFF = struct.pack("ii", 1, 0)
ANSWERS = {
    "a length": b"HTTP/1.1 200 OK\r\n%scontent-length: 12\r\n\r\n%s" % (FIELDS, BODY),
    "chunks": CHUNKED_HEAD + b"4\r\nbody\r\n8\r\nbodybody\r\n0\r\n\r\n",
    "trailers": CHUNKED_HEAD + b"c\r\nbodybodybody\r\n0\r\nx-sum: 1\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n%s\r\n%s" % (FIELDS, BODY),
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n%s\r\n%s" % (FIELDS, BODY),
}


async def exchange(pool, number):
    done = asyncio.get_running_loop().create_future()
    handover = new_handover(HandoverId(number), "u0", Millis(900))
    pool.send(handover, Millis(900), done.set_result)
    return await asyncio.wait_for(done, 10)


async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    return next(line[14:] for line in head.split(b"\r\n") if line.startswith(b"x-request-id"))


async def with_upstream(serve, work):
    async def handle(reader, writer):
        try:
            await serve(reader, writer)
        except (asyncio.IncompleteReadError, OSError):
            # The pool has closed the connection.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = UpstreamPool(f"127.0.0.1:{port}", HEADER_NAMES, lambda how: None, lambda: None)
    try:
        return await work(pool)
    finally:
        pool.close()
        server.close()


async def result_of_cut(answer, size, end):
    async def serve(reader, writer):
        await read_head(reader)
        writer.write(answer[:size])
        await writer.drain()
        if end == "reset":
            # The bytes must arrive before the reset discards them.
            await asyncio.sleep(0.002)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_OFF)
            writer.transport.abort()

    return await with_upstream(serve, lambda pool: exchange(pool, 1))


@when("an upstream's answer with {framing} breaks off after each of its bytes by {end}")
def step_cut(context, framing, end):
    answer = context.upstream_answer = ANSWERS[framing]

    async def work():
        return [await result_of_cut(answer, size, end) for size in range(len(answer) + 1)]

    results = asyncio.run(work())
    context.complete = {
        size for size, result in enumerate(results) if isinstance(result, RelayResponse)
    }


@then('it counts as complete "{complete}"')
def step_complete(context, complete):
    answer = context.upstream_answer
    head = answer.index(b"\r\n\r\n") + 4
    expected = {
        "never": set(),
        "with its last byte only": {len(answer)},
        "once its head is there": set(range(head, len(answer) + 1)),
    }[complete]
    assert context.complete == expected, sorted(context.complete ^ expected)


def numbered_answer(call_id, body, has_id=True):
    echoed = b"x-request-id: %s\r\n" % call_id if has_id else b""
    return b"HTTP/1.1 200 OK\r\n%s%scontent-length: %d\r\n\r\n%s" % (
        FIELDS,
        echoed,
        len(body),
        body,
    )


async def results_with_copy(moment, has_id):
    """Return the results of two requests when a copy of the first answer comes at `moment`."""
    copy_due, copy_sent = asyncio.Event(), asyncio.Event()

    async def serve(reader, writer):
        for _ in range(2):
            call_id = await read_head(reader)
            copy = numbered_answer(call_id, b"first", has_id)
            if call_id != b"c1":
                if moment == "after the next was read":
                    writer.write(numbered_answer(b"c1", b"first", has_id))
                    await writer.drain()
                    await asyncio.sleep(0.02)
                writer.write(numbered_answer(call_id, b"second"))
                continue
            answer = numbered_answer(call_id, b"first")
            writer.write(answer + copy if moment == "in the same segment" else answer)
            if moment in ("before the next request", "unread as the next is sent"):
                await copy_due.wait()
                sock = writer.get_extra_info("socket")
                # Written past the loop, so that the pool has no turn to read it.
                socket.socket.send(sock._sock, copy)
                copy_sent.set()

    async def work(pool):
        first = await exchange(pool, 1)
        assert first.body == b"first"
        copy_due.set()
        if moment in ("before the next request", "unread as the next is sent"):
            await copy_sent.wait()
        if moment == "before the next request":
            await asyncio.sleep(0.05)
        else:
            time.sleep(0.01)
        return await exchange(pool, 2)

    return await with_upstream(serve, work)


@when('an upstream sends a second copy of its answer {which} "{moment}"')
def step_copy(context, which, moment):
    context.result = asyncio.run(results_with_copy(moment, which == "with its id"))


@then("the next request gets its own answer or fails, and never the copy")
def step_no_copy(context):
    result = context.result
    assert not isinstance(result, RelayResponse) or result.body == b"second", result
