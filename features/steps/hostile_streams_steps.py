import asyncio
from types import SimpleNamespace

from behave import then, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_example
from hypothesis import strategies as st

from agatecross_adapters.body_blocks import BodyBlocks
from agatecross_adapters.caller_connection import (
    MAX_PIPELINED_REQUESTS,
    PARSED_BYTES,
    CallerConnection,
)
from agatecross_adapters.connection_guard import new_guard
from agatecross_adapters.message_size import FRAMING_SLACK_BYTES
from agatecross_adapters.reading_turns import ReadingTurns
from agatecross_adapters.upstream_connection import RunningRequest, UpstreamConnection
from agatecross_core.admission.connection_budget import CONNECTION_BYTES, FIELD_BYTES
from agatecross_core.admission.new_connections import NewConnections
from agatecross_core.constants import MAX_RESPONSE_BYTES
from agatecross_core.ids import Millis
from agatecross_core.relay.model import RelayResponse
from agatecross_core.relay.response_size import MAX_RESPONSE_HEAD_BYTES
from agatecross_core.routing.host_table import CallerLimits
from agatecross_platform.front_end import HEADER_NAMES

HEAD_BYTES, BODY_BYTES = 512, 2_048
LIMITS = CallerLimits(HEAD_BYTES, BODY_BYTES, Millis(1_000), Millis(1_000))
SHORTEST_REQUEST_BYTES = 16
SHORTEST_FIELD_BYTES = 3
HEADS = {
    "callers": (
        b"GET / HTTP/1.1\r\nhost: a\r\n",
        b"POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n",
        b"POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 2000\r\n",
        b"GET /a HTTP/1.0\r\n",
        b"GET /",
    ),
    "upstreams": (
        b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n",
        b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n",
        b"HTTP/1.1 103 Early\r\n",
        b"HTTP/1.1 000 X\r\n",
        b"HTTP/1.1 200 OK\r\n",
    ),
}
PARTS = (
    b"a:\r\n",
    b"a: b\r\n",
    b" b\r\n",
    b"a",
    b"a: \xff",
    b"\r\n",
    b"\r\n\r\n",
    b"1\r\nb\r\n",
    b"2\r\nbb\r\n",
    b"1;",
    b"0\r\n",
    b"0\r\n\r\n",
    b"b",
    b"\x00",
    b"expect: 100-continue\r\n",
    b"content-length: 3\r\n",
)


@st.composite
def streams(draw, who):
    """Return reads of a stream: heads and repeated parts, cut at any places."""
    parts = st.sampled_from((*HEADS[who], *PARTS))
    runs = st.tuples(parts, st.sampled_from((1, 1, 2, 50, 3_000)))
    data = b"".join(part * times for part, times in draw(st.lists(runs, min_size=1, max_size=8)))
    cuts = sorted(draw(st.lists(st.integers(0, len(data)), max_size=6)))
    ends = [*cuts, len(data)]
    return [data[start:end] for start, end in zip([0, *cuts], ends, strict=True)]


class Transport(asyncio.Transport):
    """Takes everything that is written, unless it is closed."""

    closing = False

    def write(self, data):
        pass

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return self.closing

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass

    def write_eof(self):
        pass

    def abort(self):
        self.closing = True

    close = abort


def serve_caller(reads):
    guard, waiting = new_guard(), []
    listener = SimpleNamespace(
        handler=waiting.append,
        limits=LIMITS,
        connections=set(),
        closing=False,
        guard=guard,
        turns=ReadingTurns(),
    )
    connection = CallerConnection(listener)
    connection.connection_made(Transport())
    most_requests = MAX_PIPELINED_REQUESTS + PARSED_BYTES // SHORTEST_REQUEST_BYTES
    most_read = 2 * HEAD_BYTES + FRAMING_SLACK_BYTES + PARSED_BYTES
    for read in reads:
        connection.data_received(read)
        while connection.waits_for_turn:
            listener.turns.start_turn()
        fields = len(connection.reader.incoming.headers)
        assert fields <= HEAD_BYTES // SHORTEST_FIELD_BYTES + 1, fields
        assert connection.reader.incoming.body.size <= BODY_BYTES
        assert len(connection.exchanges) <= most_requests, len(connection.exchanges)
        assert (
            connection.reader.incoming.size.held
            <= most_read + BODY_BYTES + (fields + 1) * FIELD_BYTES
        )
        # A connection that was rejected ignores the rest.
        assert guard.budget.used >= CONNECTION_BYTES and connection.requests.held_bytes >= 0
    for exchange in waiting:
        exchange.respond(RelayResponse(200, (), b"ok"))
    if not connection.half_closed and not connection.unparsed:
        assert not connection.requests.held_bytes, connection.requests.held_bytes
    connection.connection_lost(None)
    assert not guard.budget.used, guard.budget.used


def serve_upstream(reads):
    done = []
    pool = SimpleNamespace(
        names=HEADER_NAMES,
        idle=[],
        connections=set(),
        unfinished_bytes=0,
        new_connections=NewConnections(),
        release=pool_release,
        on_reset=lambda: None,
    )

    def add_unfinished_bytes(count):
        pool.unfinished_bytes += count

    pool.add_unfinished_bytes = add_unfinished_bytes
    connection = UpstreamConnection(pool)
    connection.connection_made(Transport())
    connection.send_request(RunningRequest(b"c1", b"GET", done.append), b"")
    for read in reads:
        connection.data_received(read)
        assert sum(len(n) + len(v) for n, v in connection.headers) <= MAX_RESPONSE_HEAD_BYTES
        assert len(connection.body) <= MAX_RESPONSE_BYTES
        if connection.transport.is_closing():
            break
    connection.connection_lost(None)
    assert not pool.unfinished_bytes, pool.unfinished_bytes


def pool_release(connection):
    """Keep the connection."""


SERVERS = {"callers": serve_caller, "upstreams": serve_upstream}


@then('{count:d} streams of seed {number:d} from "{who}" leave the connection within its limits')
def step_streams(context, count, number, who):
    serve = SERVERS[who]

    @seed(number)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_example(streams(who))
    def check(reads):
        async def play():
            serve(reads)
            # Results that wait for a turn of the loop.
            await asyncio.sleep(0)

        asyncio.run(play())

    check()


@when("a body of {count:d} parts of {size:d} bytes is collected")
def step_collect(context, count, size):
    context.parts = [bytes([row % 256]) * size for row in range(count)]
    context.body = BodyBlocks()
    for part in context.parts:
        context.body.add(part)


@then("it is whole, in at most {count:d} blocks")
def step_whole(context, count):
    assert context.body.whole() == b"".join(context.parts)
    assert context.body.size == sum(map(len, context.parts))
    assert len(context.body.blocks) <= count, len(context.body.blocks)


class WaitingConnection:
    def __init__(self, name, left, turns, done):
        self.name, self.left, self.turns, self.done = name, left, turns, done

    def continue_parsing(self):
        while self.left and self.turns.take(PARSED_BYTES):
            self.left -= PARSED_BYTES
            self.done.append(self.name)
        if self.left:
            self.turns.wait(self)


@when("{count:d} connections wait for turns with {size:d} KiB each")
def step_wait(context, count, size):
    async def work():
        turns, done = ReadingTurns(), []
        for name in range(count):
            turns.wait(WaitingConnection(name, size * 1024, turns, done))
        context.done_by_turn = []
        while turns.waiting:
            before = len(done)
            turns.start_turn()
            context.done_by_turn.append(done[before:])

    asyncio.run(work())


@then("{count:d} turns parse all, with at most 32 KiB in each and the connections in their order")
def step_turns(context, count):
    rows = context.done_by_turn
    assert len(rows) == count, len(rows)
    assert all(len(row) * PARSED_BYTES <= 32 * 1024 for row in rows), rows
    first = list(dict.fromkeys(name for row in rows for name in row))
    assert first == sorted(first), first
