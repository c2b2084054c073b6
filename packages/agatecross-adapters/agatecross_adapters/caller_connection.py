"""Connection of a caller; serves pipelined requests concurrently and answers them in order."""

import asyncio
import os
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import httptools

from agatecross_core.ids import ZERO_MS, Millis
from agatecross_core.relay.model import RelayRequest, RelayResponse
from agatecross_core.routing.host_table import CallerLimits

from .half_close import half_close
from .http1_bytes import encode_response, end_to_end_fields, split_absolute_form

# Reading pauses while more pipelined requests than this wait for responses.
MAX_PIPELINED_REQUESTS = 64
# Reading pauses while this many bytes of responses wait for the caller to read them.
MAX_UNSENT_BYTES = 1_048_576
# A caller normally closes its side within a round trip; otherwise the connection is aborted
# after this time.
LINGER_TIMEOUT = Millis(1_000)


class ClosedBy(Enum):
    """Which side closed a connection."""

    CALLER = "caller"
    DAEMON = "daemon"


class ParseState(Enum):
    """Which part of a request a connection waits for; idle between requests."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


@dataclass(slots=True, eq=False)
class Exchange:
    """One request of a caller, and its place in the order of responses.

    `arrived` is when the first byte of the request was read and `deadline` when the caller stops
    waiting, both in milliseconds of the monotonic clock. `on_abandoned` is called when no
    response can be sent any more, or by `notify_handlers_of_close` just before that.
    """

    connection: "CallerConnection"
    arrived: Millis
    request: RelayRequest
    host: str
    keep_alive: bool
    response: RelayResponse | None = None
    on_abandoned: Callable[[ClosedBy], None] | None = None
    deadline: Millis = ZERO_MS

    def respond(self, response: RelayResponse) -> None:
        """Send the response once the earlier requests on the connection are answered."""
        if self.response is None:
            self.response = response
            self.on_abandoned = None
            self.connection.write_due_responses()


ExchangeHandler = Callable[[Exchange], None]


class ConnectionOwner(Protocol):
    """Interface of the listener that accepted a connection."""

    handler: ExchangeHandler
    limits: CallerLimits
    connections: "set[CallerConnection]"
    closing: bool


class CallerConnection(asyncio.Protocol):
    """One connection of a caller; parses its requests and writes their responses."""

    transport: asyncio.Transport

    def __init__(self, listener: ConnectionOwner) -> None:
        self.listener = listener
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: deque[Exchange] = deque()
        self.state = ParseState.IDLE
        # When the current wait for data or for a request began, and when the request began.
        self.waiting_since = Millis(time.monotonic() * 1000)
        self.request_started = self.waiting_since
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.chunks: list[bytes] = []
        # Bytes of the head or of the body that is being read.
        self.part_bytes = 0
        self.framing_field_count = 0
        self.rejected = False
        self.pipeline_full = False
        self.write_blocked = False
        self.unsent_at_last_check = 0
        self.half_closed = False
        self.closed_by = ClosedBy.CALLER

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.listener.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the requests that can no longer be answered."""
        self.listener.connections.discard(self)
        self._drop_exchanges()

    def pause_writing(self) -> None:
        """Stop reading requests while the caller does not read responses."""
        self.write_blocked = True
        if not self.half_closed:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading, unless too many requests wait for responses."""
        self.write_blocked = False
        if not self.pipeline_full:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse received data; data after a rejected request or after the half-close is ignored."""
        if self.rejected or self.half_closed:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError:
            if not self.rejected:
                self.reject(400)

    def on_message_begin(self) -> None:
        """Start collecting a request."""
        self.state = ParseState.HEAD
        self.waiting_since = self.request_started = Millis(time.monotonic() * 1000)
        self.target = b""
        self.headers = []
        self.chunks = []
        self.part_bytes = 0
        self.framing_field_count = 0

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field."""
        name = name.lower()
        self._count_head_bytes(len(name) + len(value) + 4)
        self.headers.append((name, value))
        if name in (b"content-length", b"transfer-encoding"):
            self.framing_field_count += 1
        elif name == b"expect" and value.lower() == b"100-continue" and not self.exchanges:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing, which allows request smuggling."""
        self.state = ParseState.BODY
        self.part_bytes = 0
        if self.framing_field_count > 1:
            self.reject(400)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        self.part_bytes += len(body)
        self.waiting_since = Millis(time.monotonic() * 1000)
        if self.part_bytes > self.listener.limits.body_bytes:
            self.reject(413)
        else:
            self.chunks.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler, unless an earlier one ended the connection."""
        if self.rejected or self.half_closed:
            return
        self.state = ParseState.IDLE
        hosts = [value for name, value in self.headers if name == b"host"]
        target = self.target
        if not target.startswith(b"/"):
            hosts, target = split_absolute_form(target, hosts)
        if len(hosts) != 1 or not target.startswith(b"/"):
            self.reject(400)
            return
        exchange = Exchange(
            self,
            self.request_started,
            RelayRequest(
                self.parser.get_method(),
                target,
                end_to_end_fields(self.headers),
                b"".join(self.chunks),
            ),
            hosts[0].decode("latin-1"),
            self.parser.should_keep_alive(),
        )
        self.exchanges.append(exchange)
        if len(self.exchanges) > MAX_PIPELINED_REQUESTS and not self.pipeline_full:
            self.pipeline_full = True
            self.transport.pause_reading()
        try:
            self.listener.handler(exchange)
        except Exception as error:
            # An exception that reached the parser would look like a malformed request and leave
            # this one unanswered.
            asyncio.get_running_loop().call_exception_handler(
                {"message": "unhandled exception in the request handler", "exception": error}
            )
            exchange.respond(RelayResponse(HTTPStatus.BAD_GATEWAY, (), b""))

    def write_due_responses(self) -> None:
        """Write the responses that are due, in the order of their requests."""
        if self.half_closed or self.transport.is_closing():
            return
        out: list[bytes] = []
        close = False
        while self.exchanges and self.exchanges[0].response is not None and not close:
            exchange = self.exchanges.popleft()
            assert exchange.response is not None
            last = not self.exchanges and self.state is ParseState.IDLE
            close = not exchange.keep_alive or (self.listener.closing and last)
            out += encode_response(exchange.request.method, exchange.response, close)
        if out:
            self.transport.write(b"".join(out))
            if self.state is ParseState.IDLE:
                self.waiting_since = Millis(time.monotonic() * 1000)
        if close or (self.rejected and not self.exchanges):
            self.close_gracefully()
        elif self.pipeline_full and len(self.exchanges) < MAX_PIPELINED_REQUESTS:
            self.pipeline_full = False
            if not self.write_blocked:
                self.transport.resume_reading()

    def reject(self, status: int) -> None:
        """Answer a request with an error status, after the earlier ones, and close."""
        self.rejected = True
        empty = RelayRequest(b"GET", b"/", (), b"")
        exchange = Exchange(self, self.waiting_since, empty, "", False)
        self.exchanges.append(exchange)
        exchange.respond(RelayResponse(status, (), b""))

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.exchanges and self.state is ParseState.IDLE:
            self.close_gracefully()

    def notify_handlers_of_close(self) -> None:
        """Call `on_abandoned` of the waiting requests before the daemon closes the connection.

        A handler may still respond during this call; a later response is not sent.
        """
        self.closed_by = ClosedBy.DAEMON
        for exchange in list(self.exchanges):
            if exchange.on_abandoned is not None:
                exchange.on_abandoned(self.closed_by)

    def close_gracefully(self) -> None:
        """Flush written responses and half-close the connection; waiting requests are abandoned.

        Closing a socket with unread data would reset the connection and could lose the last
        response, so only the sending side is shut down, and data that the caller still sends is
        read and ignored.
        """
        if self.half_closed or self.transport.is_closing():
            return
        self.half_closed = True
        self.closed_by = ClosedBy.DAEMON
        self.waiting_since = Millis(time.monotonic() * 1000)
        self._drop_exchanges()
        self.transport.resume_reading()
        half_close(self.transport)

    def has_unread_data(self) -> bool:
        """Return whether the kernel holds data from this caller that was not read."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return False
        # asyncio does not expose `recv` of its sockets; a duplicate shares the connection.
        try:
            with socket.socket(fileno=os.dup(sock.fileno())) as peek:
                return bool(peek.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            # No data waits, the caller has reset the connection, or no file descriptor is free.
            return False

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle too long; reject a request that arrives too slowly."""
        limits = self.listener.limits
        waited = now - self.waiting_since
        if self.half_closed:
            buffered = self.transport.get_write_buffer_size()
            if buffered != self.unsent_at_last_check:
                self.unsent_at_last_check, self.waiting_since = buffered, Millis(now)
            elif waited > (limits.idle_timeout if buffered else LINGER_TIMEOUT):
                self.transport.abort()
            return
        if self.state is ParseState.IDLE:
            if waited > limits.idle_timeout:
                self.close_if_idle()
        elif waited > (
            limits.head_timeout if self.state is ParseState.HEAD else limits.idle_timeout
        ):
            self.reject(408)

    def _drop_exchanges(self) -> None:
        dropped, self.exchanges = self.exchanges, deque()
        for exchange in dropped:
            if exchange.on_abandoned is not None:
                exchange.on_abandoned(self.closed_by)

    def _count_head_bytes(self, count: int) -> None:
        self.part_bytes += count
        if self.part_bytes > self.listener.limits.head_bytes and not self.rejected:
            self.reject(431)
