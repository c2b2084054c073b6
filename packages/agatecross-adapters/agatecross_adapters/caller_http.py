"""HTTP/1.1 server for callers: pipelined requests are served at once and answered in order.

`tornado` reads the next request of a connection only after it answered the last one, so this
listener runs httptools' parser on the event loop that tornado uses.
"""

import asyncio
import os
import socket
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import httptools

from agatecross_core.ids import ZERO_MS, Address, Millis
from agatecross_core.relay.model import RelayRequest, RelayResponse
from agatecross_core.routing.host_table import CallerLimits

from .half_close import end_writing

SWEEP_SECONDS = 0.25
# A caller that pipelines more than this waits for answers before more is read.
MAX_PIPELINED = 64
# Nothing more is read from a caller that leaves this many bytes of answers unread.
MAX_UNSENT = 1_048_576
BACKLOG = 1024
# A caller closes its side within a round trip; one that does not is cut off after this time.
LINGER_TIME = Millis(1_000)
FINISH_POLL_SECONDS = 0.01
BODILESS = frozenset((204, 304))
CONNECTION_FIELDS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
STATUS_LINES: dict[int, bytes] = {
    int(code): b"HTTP/1.1 %d %s\r\n" % (code, HTTPStatus(code).phrase.encode())
    for code in HTTPStatus
}
# Before a configuration is in force.
DEFAULT_LIMITS = CallerLimits(16_384, 1_048_576, Millis(5_000), Millis(15_000))


class ClosedBy(Enum):
    """Who ended a connection."""

    CALLER = "caller"
    DAEMON = "daemon"


class ParseState(Enum):
    """What a connection waits for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


@dataclass(frozen=True, slots=True)
class Unfinished:
    """What the callers' connections still hold.

    `waiting` counts requests without an answer, `reading` requests that are not whole, `unread`
    connections with bytes that were not read; `unsent` is bytes of answers not yet given to the
    kernel.
    """

    waiting: int
    reading: int
    unread: int
    unsent: int


@dataclass(slots=True, eq=False)
class Exchange:
    """One request of a caller and its place in the order of answers.

    `arrived` is when its first byte was read and `deadline` when its caller stops to wait, both on
    the monotonic clock in milliseconds.
    """

    connection: "CallerConnection"
    arrived: Millis
    request: RelayRequest
    host: str
    keep_alive: bool
    response: RelayResponse | None = None
    on_gone: Callable[[ClosedBy], None] | None = None
    deadline: Millis = ZERO_MS

    def respond(self, response: RelayResponse) -> None:
        """Answer, now or when the earlier requests of the connection are answered."""
        if self.response is None:
            self.response = response
            self.on_gone = None
            self.connection.flush()


ExchangeHandler = Callable[[Exchange], None]


class CallerListener:
    """Accepts callers' connections on one address."""

    def __init__(self, handler: ExchangeHandler) -> None:
        """Pass each whole request to `handler`."""
        self.handler = handler
        self.limits = DEFAULT_LIMITS
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.sweeper: asyncio.TimerHandle | None = None
        self.closing = False

    async def listen(self, address: Address) -> Address:
        """Start to serve and return the bound address; port 0 lets the kernel choose."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        self.server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=BACKLOG
        )
        self._sweep()
        return Address(f"{host}:{self.server.sockets[0].getsockname()[1]}")

    def close_after_answers(self) -> None:
        """End each connection with its next answer that no request waits behind."""
        self.closing = True

    async def stop_accepting(self) -> None:
        """Accept the connections that the kernel holds, and listen no more.

        `asyncio.Server.close` loses connections that it accepted in the same turn of the loop, and
        the kernel resets those that nobody accepted.
        """
        if self.server is None:
            return
        loop = asyncio.get_running_loop()
        for listening in self.server.sockets:
            loop.remove_reader(listening.fileno())
        await asyncio.sleep(0)
        accepted: list[socket.socket] = []
        for listening in self.server.sockets:
            accepted += _accept_all(listening.fileno())
        self.server.close()
        for sock in accepted:
            await loop.connect_accepted_socket(lambda: CallerConnection(self), sock)

    async def finish(self, limit: Millis) -> None:
        """End every connection so that its caller gets all answers; wait `limit` at most.

        Whoever handles a request that still waits is told first, and may answer it.
        """
        self.closing = True
        for connection in list(self.connections):
            connection.give_up()
            connection.finish()
        last = time.monotonic() + limit / 1000
        while self.connections and time.monotonic() < last:
            await asyncio.sleep(FINISH_POLL_SECONDS)
        self.close()

    def close(self) -> None:
        """Stop accepting and close every connection."""
        if self.server is not None:
            self.server.close()
        if self.sweeper is not None:
            self.sweeper.cancel()
        for connection in list(self.connections):
            connection.closed_by = ClosedBy.DAEMON
            connection.transport.close()

    @property
    def pending(self) -> int:
        """Return the number of requests that wait for an answer."""
        return sum(len(row.exchanges) for row in self.connections)

    @property
    def latest_deadline(self) -> Millis:
        """Return when the last request that waits for an answer is over."""
        deadlines = (exchange.deadline for row in self.connections for exchange in row.exchanges)
        return max(deadlines, default=ZERO_MS)

    @property
    def unsent(self) -> int:
        """Return the bytes of answers not yet given to the kernel."""
        return sum(row.transport.get_write_buffer_size() for row in self.connections)

    def unfinished(self) -> Unfinished:
        """Return what a close would cut or drop now."""
        rows = self.connections
        return Unfinished(
            self.pending,
            sum(row.state is not ParseState.IDLE for row in rows),
            sum(row.has_unread() for row in rows),
            self.unsent,
        )

    def _sweep(self) -> None:
        now = time.monotonic() * 1000
        for connection in list(self.connections):
            connection.check_times(now)
        self.sweeper = asyncio.get_running_loop().call_later(SWEEP_SECONDS, self._sweep)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller."""

    transport: asyncio.Transport

    def __init__(self, listener: CallerListener) -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.state = ParseState.IDLE
        # When the connection began to wait for what it waits for, and when its request began.
        self.since = Millis(time.monotonic() * 1000)
        self.begun = self.since
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        self.size = 0
        self.framing = 0
        self.broken = False
        self.paused = False
        self.clogged = False
        self.unsent = 0
        self.finishing = False
        self.closed_by = ClosedBy.CALLER

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT)
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        self.listener.connections.discard(self)
        self._drop_exchanges()

    def pause_writing(self) -> None:
        """Read no more requests while the caller does not read their answers."""
        self.clogged = True
        if not self.finishing:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Read on."""
        self.clogged = False
        if not self.paused:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse what was read; what follows a malformed request or the last answer is ignored."""
        if self.broken or self.finishing:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError:
            if not self.broken:
                self.reject(400)

    def on_message_begin(self) -> None:
        """Start a request."""
        self.state = ParseState.HEAD
        self.since = self.begun = Millis(time.monotonic() * 1000)
        self.target = b""
        self.headers = []
        self.chunks = []
        self.size = 0
        self.framing = 0

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        name = name.lower()
        self._count_head(len(name) + len(value) + 4)
        self.headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self.framing += 1
        elif name == b"expect" and value.lower() == b"100-continue" and not self.exchanges:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Refuse ambiguous framing, which is how requests are smuggled."""
        self.state = ParseState.BODY
        self.size = 0
        if self.framing > 1:
            self.reject(400)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.size += len(body)
        self.since = Millis(time.monotonic() * 1000)
        if self.size > self.listener.limits.body_bytes:
            self.reject(413)
        else:
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Pass the whole request on, unless the connection ended with an earlier one."""
        if self.broken or self.finishing:
            return
        self.state = ParseState.IDLE
        hosts = [value for name, value in self.headers if name == b"host"]
        target = self.target
        if not target.startswith(b"/"):
            hosts, target = _absolute_form(target, hosts)
        if len(hosts) != 1 or not target.startswith(b"/"):
            self.reject(400)
            return
        exchange = Exchange(
            self,
            self.begun,
            RelayRequest(
                self.parser.get_method(), target, _end_to_end(self.headers), b"".join(self.chunks)
            ),
            hosts[0].decode("latin-1"),
            self.parser.should_keep_alive(),
        )
        self.exchanges.append(exchange)
        if len(self.exchanges) > MAX_PIPELINED and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        try:
            self.listener.handler(exchange)
        except Exception as error:
            # The parser would take it for a malformed request and leave this one unanswered.
            asyncio.get_running_loop().call_exception_handler(
                {"message": "a request could not be handled", "exception": error}
            )
            exchange.respond(RelayResponse(HTTPStatus.BAD_GATEWAY, (), b""))

    def flush(self) -> None:
        """Write the answers that are due, in the order of their requests."""
        if self.finishing or self.transport.is_closing():
            return
        out: list[bytes] = []
        close = False
        while self.exchanges and self.exchanges[0].response is not None and not close:
            exchange = self.exchanges.popleft()
            assert exchange.response is not None
            last = not self.exchanges and self.state is ParseState.IDLE
            close = not exchange.keep_alive or (self.listener.closing and last)
            out += _encode(exchange.request.method, exchange.response, close)
        if out:
            self.transport.write(b"".join(out))
            if self.state is ParseState.IDLE:
                self.since = Millis(time.monotonic() * 1000)
        if close or (self.broken and not self.exchanges):
            self.finish()
        elif self.paused and len(self.exchanges) < MAX_PIPELINED:
            self.paused = False
            if not self.clogged:
                self.transport.resume_reading()

    def reject(self, status: int) -> None:
        """Answer a request that is not passed on, after the earlier ones, and close."""
        self.broken = True
        empty = RelayRequest(b"GET", b"/", (), b"")
        exchange = Exchange(self, self.since, empty, "", False)
        self.exchanges.append(exchange)
        exchange.respond(RelayResponse(status, (), b""))

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.exchanges and self.state is ParseState.IDLE:
            self.finish()

    def give_up(self) -> None:
        """Tell the handlers of the requests that wait that no later answer can be sent."""
        self.closed_by = ClosedBy.DAEMON
        for exchange in list(self.exchanges):
            if exchange.on_gone is not None:
                exchange.on_gone(self.closed_by)

    def finish(self) -> None:
        """End the connection after what was written; requests that wait are cut.

        A close with unread bytes would reset the connection and could take the last answer with
        it, so only this side is shut, and what the caller still sends is read and ignored.
        """
        if self.finishing or self.transport.is_closing():
            return
        self.finishing = True
        self.closed_by = ClosedBy.DAEMON
        self.since = Millis(time.monotonic() * 1000)
        self._drop_exchanges()
        self.transport.resume_reading()
        end_writing(self.transport)

    def has_unread(self) -> bool:
        """Return whether the kernel holds bytes of this caller that were not read."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return False
        # asyncio hides `recv` of its sockets; the duplicate shares the connection.
        try:
            with socket.socket(fileno=os.dup(sock.fileno())) as peek:
                return bool(peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            # Nothing waits, the caller has reset the connection, or no descriptor is free.
            return False

    def check_times(self, now: float) -> None:
        """Close a connection that is idle, or whose request takes too long to arrive."""
        limits = self.listener.limits
        waited = now - self.since
        if self.finishing:
            unsent = self.transport.get_write_buffer_size()
            if unsent != self.unsent:
                self.unsent, self.since = unsent, Millis(now)
            elif waited > (limits.idle_time if unsent else LINGER_TIME):
                self.transport.abort()
            return
        if self.state is ParseState.IDLE:
            if waited > limits.idle_time:
                self.close_if_idle()
        elif waited > (limits.head_time if self.state is ParseState.HEAD else limits.idle_time):
            self.reject(408)

    def _drop_exchanges(self) -> None:
        dropped, self.exchanges = self.exchanges, deque()
        for exchange in dropped:
            if exchange.on_gone is not None:
                exchange.on_gone(self.closed_by)

    def _count_head(self, size: int) -> None:
        self.size += size
        if self.size > self.listener.limits.head_bytes and not self.broken:
            self.reject(431)


def _accept_all(listening: int) -> Iterator[socket.socket]:
    """Yield the connections that wait at a listening socket, given by its descriptor."""
    try:
        with socket.socket(fileno=os.dup(listening)) as queue:
            while True:
                sock, _ = queue.accept()
                sock.setblocking(False)
                yield sock
    except OSError:
        # Nothing waits, the connection that did is gone already, or no descriptor is free.
        return


def _absolute_form(target: bytes, hosts: list[bytes]) -> tuple[list[bytes], bytes]:
    """Split `http://host/path`; the host of the target replaces the header's."""
    scheme, mark, rest = target.partition(b"://")
    if not mark or scheme.lower() not in (b"http", b"https"):
        return hosts, target
    host, slash, path = rest.partition(b"/")
    return [host], slash + path if slash else b"/"


def _end_to_end(headers: list[tuple[bytes, bytes]]) -> tuple[tuple[bytes, bytes], ...]:
    rows = [row for row in headers if row[0] not in CONNECTION_FIELDS]
    if len(rows) == len(headers):
        return tuple(rows)
    named = b",".join(value for name, value in headers if name == b"connection").lower()
    if named in (b"", b"close", b"keep-alive"):
        return tuple(rows)
    extra = {name.strip() for name in named.split(b",")}
    return tuple(row for row in rows if row[0] not in extra)


def _encode(method: bytes, response: RelayResponse, close: bool) -> list[bytes]:
    line = STATUS_LINES.get(response.status) or b"HTTP/1.1 %d Unknown\r\n" % response.status
    out = [line]
    for name, value in response.headers:
        out += (name, b": ", value, b"\r\n")
    if response.status not in BODILESS:
        out.append(b"content-length: %d\r\n" % len(response.body))
    out.append(b"connection: close\r\n\r\n" if close else b"\r\n")
    if method != b"HEAD" and response.status not in BODILESS:
        out.append(response.body)
    return out
