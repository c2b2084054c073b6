import asyncio
from collections import Counter
from pathlib import Path
from unittest import mock

from behave import given, then, when
from platform_steps import poll_until, start_testbed

from agatecross_adapters.http_client import ClientStream, TornadoHttpClient
from agatecross_adapters.upstream_connection import UpstreamConnection
from agatecross_core.calls.model import Request
from agatecross_core.errors import ConnectionLostError, ExchangeError, StoreError
from agatecross_core.ids import Millis
from agatecross_platform.store import PlatformStore
from agatecross_standins.endless import EndlessPart
from agatecross_standins.platform_store import PlatformStoreStandIn
from agatecross_standins.platform_upstream import Answer, PlatformUpstream

KIB = 1024
OTHER_CALL_COUNT = 5
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


class ReadCounter:
    """Counts what the daemons read from each connection to an upstream."""

    def __init__(self):
        self.read_bytes = Counter()
        self.peak_bytes = Counter()
        self.original_data_received = UpstreamConnection.data_received

    def data_received(self, connection, data):
        self.read_bytes[connection] += len(data)
        pool = connection.pool
        running = [row for row in pool.connections if row.running is not None]
        self.peak_bytes[pool] = max(
            self.peak_bytes[pool], sum(self.read_bytes[row] for row in running)
        )
        self.original_data_received(connection, data)


def exit_task_of(testbed, name):
    return testbed.sidecars[int(name[1:])].exit


def set_script(testbed, names, items):
    """Give the upstreams one shared script; after its last item, they answer normally."""
    shared = iter(items)

    class SharedScript:
        def __bool__(self):
            return True

        def popleft(self):
            return next(shared, Answer.WHOLE)

    for name in names.split(","):
        testbed.upstreams[int(name[1:])].script = SharedScript()


@given("a platform fleet that counts what its upstreams send")
@given("a platform fleet that counts what its upstreams send, with {seconds:d} s for each call")
def step_counting_fleet(context, seconds=None):
    counter = context.counter = ReadCounter()
    patch = mock.patch.object(
        UpstreamConnection,
        "data_received",
        lambda connection, data: counter.data_received(connection, data),
    )
    patch.start()
    context.add_cleanup(patch.stop)
    start_testbed(context, False, seconds)


@when('upstreams "{names}" answer with endless "{parts}"')
def step_endless(context, names, parts):
    set_script(context.testbed, names, [EndlessPart(part) for part in parts.split(", ")])


@when('upstreams "{names}" trickle endless "{part}"')
def step_trickle(context, names, part):
    set_script(context.testbed, names, [EndlessPart(part)])
    for name in names.split(","):
        context.testbed.upstreams[int(name[1:])].trickles = True


@when('upstreams "{names}" answer with {count:d} {what}')
def step_large(context, names, count, what):
    set_script(context.testbed, names, [large_answer(count, what)])


def large_answer(count, what):
    start = b"HTTP/1.1 200 OK\r\nx-response-stamp: s\r\n"
    match what:
        case "bytes of fields":
            fields = b"".join(b"x-%03d: %s\r\n" % (row, b"v" * 91) for row in range(count // 100))
            return start + fields + b"content-length: 1\r\n\r\nb"
        case "bytes of body":
            return start + b"content-length: %d\r\n\r\n" % count + b"b" * count
        case "bytes in chunks of 1,000":
            return (
                start
                + CHUNKED
                + (b"3e8\r\n" + b"b" * 1000 + b"\r\n") * (count // 1000)
                + LAST_CHUNK
            )
        case "bytes in chunks of 1":
            return start + CHUNKED + b"1\r\nb\r\n" * count + LAST_CHUNK
        case "interim responses":
            hints = b"HTTP/1.1 103 Early Hints\r\na: b\r\n\r\n" * count
            return hints + start + b"content-length: 1\r\n\r\nb"


@when('during calls of "{other}" a caller of d{number:d} sends "{line}"')
def step_send_during_calls(context, other, number, line):
    async def work():
        sending = asyncio.ensure_future(context.testbed.send(number, line))
        await poll_until(lambda: any(u.runs for u in context.testbed.upstreams), "the call to run")
        answers = await asyncio.gather(
            *(context.testbed.send(2, other) for _ in range(OTHER_CALL_COUNT))
        )
        return await sending, answers

    context.answer, context.answers = context.testbed.run(work())


@then("the answer is {status:d}, at most {most:d} KiB of it were read and all other calls got 200")
def step_bounded(context, status, most):
    read_bytes = max(context.counter.read_bytes.values())
    print(f"read {read_bytes / KIB:.0f} KiB of the endless answer")
    assert context.answer.status == status, context.answer.status
    assert [row.status for row in context.answers] == [200] * OTHER_CALL_COUNT, context.answers
    assert read_bytes <= most * KIB, read_bytes


@then("the answer's status is {status:d}")
def step_status(context, status):
    assert context.answer.status == status, context.answer.status


@then('"{name}" has no open exchange, its connection is closed and it keeps no bytes')
def step_freed(context, name):
    exit_task, upstream = (
        exit_task_of(context.testbed, name),
        context.testbed.upstreams[int(name[1:])],
    )

    def freed():
        return not exit_task.calls and not exit_task.queue.running and not upstream.connections

    context.testbed.run(poll_until(freed, "the slot and the connection to be free"))
    assert not exit_task.pool.connections
    assert exit_task.pool.unfinished_bytes == 0, exit_task.pool.unfinished_bytes


@then('the answer is {status:d} and upstream "{name}" ran {runs:d} calls')
def step_next_call(context, status, name, runs):
    assert context.answer.status == status, context.answer.status
    found = sum(context.testbed.upstreams[int(name[1:])].runs.values())
    assert found == runs, found


@then("all upstreams ran it {runs:d} times")
def step_runs(context, runs):
    found = Counter()
    for upstream in context.testbed.upstreams:
        found += upstream.runs
    assert found["c0"] == runs, found


@then('the unfinished answers of "{name}" took at most {most:d} KiB together')
def step_peak(context, name, most):
    peak_bytes = context.counter.peak_bytes[exit_task_of(context.testbed, name).pool]
    print(f"unfinished answers took {peak_bytes / KIB:.0f} KiB")
    assert peak_bytes <= most * KIB, peak_bytes


@then('"{name}" still works on it; once it answers, its connection is kept for the next call')
def step_late_answer(context, name):
    testbed, number = context.testbed, int(name[1:])
    exit_task, upstream = exit_task_of(testbed, name), testbed.upstreams[number]

    async def work():
        # Waits longer than an answer that has begun may continue after the deadline.
        await asyncio.sleep(1.5)
        assert len(exit_task.calls) == len(upstream.connections) == 1
        upstream.released.set()
        await poll_until(lambda: not exit_task.calls, "the run to end")
        assert len(exit_task.pool.idle) == len(upstream.connections) == 1

    testbed.run(work())


@then('"{name}"\'s daemon logs "{pair}" with the bytes that it read')
def step_logged_bytes(context, name, pair):
    path = Path(context.testbed.log_paths()[int(name[1:])])
    lines = [row for row in path.read_text().splitlines() if "event=handover_failed" in row]
    read_bytes = max(context.counter.read_bytes.values())
    assert [pair in row and f"read={read_bytes}" in row for row in lines] == [True], lines


@when("a daemon reads what is announced from a store with endless pages of {size:d} bytes")
def step_endless_pages(context, size):
    async def work():
        stand_in = PlatformStoreStandIn()
        stand_in.switches.endless_value_bytes = size
        http = TornadoHttpClient()
        store = PlatformStore(stand_in.listen(), http)
        try:
            await asyncio.wait_for(store.read_announcements(), 30)
        except (StoreError, TimeoutError) as error:
            context.error = error
        http.close()
        await stand_in.close()
        context.pages = stand_in.calls

    asyncio.run(work())


@then("the store fails after at most {pages:d} pages")
def step_pages(context, pages):
    assert isinstance(context.error, StoreError), (context.error, context.pages)
    assert context.pages <= pages, context.pages


@when('a client asks a server that answers with endless "{part}"')
def step_client(context, part):
    context.read = 0
    original = ClientStream.read_from_fd

    def counted(stream, buffer):
        count = original(stream, buffer)
        context.read += count or 0
        return count

    async def work():
        server = PlatformUpstream("u0", "s0")
        await server.listen()
        server.queue_answers([EndlessPart(part)])
        http = TornadoHttpClient()
        try:
            await http.send(server.address, Request("GET", "/", (), b""), Millis(10_000))
        except ExchangeError as error:
            context.error = error
        await poll_until(lambda: not server.connections, "the connection to close")
        http.close()
        server.crash()

    with mock.patch.object(ClientStream, "read_from_fd", counted):
        asyncio.run(work())


@then("it fails and read at most {most:d} KiB")
def step_client_read(context, most):
    print(f"{type(context.error).__name__} after {context.read / KIB:.0f} KiB")
    assert isinstance(context.error, ConnectionLostError), context.error
    assert context.read <= most * KIB, context.read
