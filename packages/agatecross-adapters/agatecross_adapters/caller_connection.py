"""Connection of a caller; serves pipelined requests concurrently and answers them in order."""

import asyncio
import time
from collections import deque
from enum import Enum
from http import HTTPStatus
from typing import Protocol

import httptools

from agatecross_core.admission.connection_budget import (
    ConnectionPhase,
    HeldConnection,
    Place,
    ShedReason,
)
from agatecross_core.ids import Millis
from agatecross_core.relay.model import RelayRequest, RelayResponse
from agatecross_core.routing.host_table import CallerLimits

from .caller_exchange import ClosedBy, Exchange, ExchangeHandler
from .connection_guard import ConnectionGuard
from .half_close import half_close, has_unread_data
from .http1_bytes import encode_response
from .incoming_request import IncomingRequest

# Reading pauses while more pipelined requests than this wait for responses.
MAX_PIPELINED_REQUESTS = 64
# Reading pauses while this many bytes of responses wait for the caller to read them.
MAX_UNSENT_BYTES = 1_048_576
# The parser gets so much at a time, since it collects an unfinished field and calls back for many
# small ones before the limits can be checked.
PARSED_BYTES = 8_192
# Sent with a request that is refused for lack of memory.
RETRY_AFTER = ((b"retry-after", b"0.1"),)
# A caller normally closes its side within a round trip; otherwise the connection is aborted
# after this time.
LINGER_TIMEOUT = Millis(1_000)


class ParseState(Enum):
    """Which part of a request a connection waits for; idle between requests."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class ConnectionOwner(Protocol):
    """Interface of the listener that accepted a connection."""

    handler: ExchangeHandler
    limits: CallerLimits
    connections: "set[CallerConnection]"
    closing: bool
    guard: ConnectionGuard


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
        self.incoming = IncomingRequest()
        # Bytes received behind more requests than may wait for responses.
        self.unparsed = b""
        # Bytes of the whole requests, and of the responses that are not due yet.
        self.waiting_bytes = 0
        self.rejected = False
        self.pipeline_full = False
        self.write_blocked = False
        self.had_request = False
        self.unsent_at_last_check = 0
        self.half_closed = False
        self.closed_by = ClosedBy.CALLER

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self.listener.connections.add(self)
        peer_name = transport.get_extra_info("peername")
        self.held: HeldConnection = self.listener.guard.add(self, Place.CALLERS, peer_name)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the requests that can no longer be answered."""
        self.listener.connections.discard(self)
        self.listener.guard.remove(self.held)
        self._drop_exchanges()

    def pause_writing(self) -> None:
        """Stop reading requests while the caller does not read responses."""
        self.write_blocked = True
        if not self.half_closed:
            self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Resume reading, unless too many requests wait for responses."""
        self.write_blocked = False
        self._resume()

    def data_received(self, data: bytes) -> None:
        """Parse received data; data after a rejected request or after the half-close is ignored."""
        if not self.rejected and not self.half_closed:
            self._parse(self.unparsed + data)
            self.count_held()

    def _parse(self, data: bytes) -> None:
        """Parse data piece by piece, until too many requests wait for responses."""
        position = 0
        while position < len(data) and not (
            self.rejected or self.half_closed or self.pipeline_full or self.write_blocked
        ):
            piece = data if len(data) <= PARSED_BYTES else data[position : position + PARSED_BYTES]
            position += len(piece)
            self._feed(piece)
        done = self.rejected or self.half_closed or position >= len(data)
        self.unparsed = b"" if done else data[position:]

    def _feed(self, piece: bytes) -> None:
        self.incoming.size.read += len(piece)
        while piece:
            piece = self._feed_parser(piece)
        if not self.rejected and self.incoming.size.framing_exceeded(
            self.listener.limits.head_bytes
        ):
            # Blank lines before a request are no request that could be answered as too large.
            is_idle = self.state is ParseState.IDLE
            self.reject(
                HTTPStatus.BAD_REQUEST if is_idle else HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
            )

    def _feed_parser(self, data: bytes) -> bytes:
        """Parse data, and return what is left to parse after a request that offers an upgrade.

        The offer is ignored. The parser takes no body with it, so the head is parsed again without.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as upgrade:
            if self.rejected or self.half_closed:
                return b""
            method, version = self.parser.get_method(), self.parser.get_http_version()
            self.parser = httptools.HttpRequestParser(self)
            return self.incoming.head_without_upgrade(method, version) + data[upgrade.args[0] :]
        except httptools.HttpParserError:
            if not self.rejected:
                self.reject(HTTPStatus.BAD_REQUEST)
        return b""

    def _resume(self) -> None:
        """Parse what arrived behind requests that are answered now, then read on."""
        if self.unparsed and not self.transport.is_closing():
            self.data_received(b"")
        if not (self.unparsed or self.pipeline_full or self.write_blocked):
            self.transport.resume_reading()

    def hold_response(self, exchange: Exchange, size: int) -> None:
        """Count a response instead of its request until it is due."""
        if not self.half_closed:
            self.waiting_bytes += size - exchange.held
            exchange.held = size
            self.count_held()

    def count_held(self) -> None:
        """Count what this connection holds, which may refuse or close it."""
        if self.transport.is_closing():
            return
        unsent = self.transport.get_write_buffer_size()
        held = self.incoming.size.held + self.waiting_bytes + len(self.unparsed) + unsent
        self.listener.guard.update(self.held, held, self._phase())

    def _phase(self) -> ConnectionPhase:
        if self.half_closed:
            return ConnectionPhase.SILENT
        unsent = self.transport.get_write_buffer_size()
        if self.write_blocked or (unsent and unsent + self.waiting_bytes > MAX_UNSENT_BYTES):
            return ConnectionPhase.UNREAD
        if self.state is not ParseState.IDLE:
            return ConnectionPhase.READING
        if self.exchanges:
            return ConnectionPhase.SERVING
        return ConnectionPhase.IDLE if self.had_request else ConnectionPhase.SILENT

    def shed(self, reason: ShedReason) -> None:
        """Refuse the incomplete request as not run; close at once if that takes a place."""
        is_reading = self._phase() is ConnectionPhase.READING
        if not is_reading or (reason is ShedReason.PLACES and not self.exchanges):
            self.closed_by = ClosedBy.DAEMON
            self.transport.abort()
        elif not self.rejected:
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE)

    def on_message_begin(self) -> None:
        """Start collecting a request."""
        self.state = ParseState.HEAD
        self.waiting_since = self.request_started = Millis(time.monotonic() * 1000)
        self.incoming = IncomingRequest()

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self.incoming.add_target(url)
        self._check_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field; trailers are counted and dropped."""
        if self.rejected:
            return
        if self.state is ParseState.BODY:
            self.incoming.size.add_trailer(len(name) + len(value))
            if self.incoming.size.trailers > self.listener.limits.head_bytes:
                self.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        name = name.lower()
        self.incoming.add_field(name, value)
        self._check_head()

    def on_headers_complete(self) -> None:
        """Reject ambiguous framing, which allows request smuggling."""
        self.state = ParseState.BODY
        if self.incoming.framing_fields > 1 and not self.rejected:
            self.reject(HTTPStatus.BAD_REQUEST)
        if self.incoming.expects_continue and not (
            self.exchanges or self.rejected or self.parser.should_upgrade()
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.rejected:
            return
        self.waiting_since = Millis(time.monotonic() * 1000)
        self.incoming.size.add_body(len(body))
        if self.incoming.size.body > self.listener.limits.body_bytes:
            self.reject(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        else:
            self.incoming.body += body

    def on_message_complete(self) -> None:
        """Pass the complete request to the handler, unless an earlier one ended the connection."""
        if self.rejected or self.half_closed:
            return
        if self.parser.should_upgrade():
            if self.parser.get_method() == b"CONNECT":
                self.reject(HTTPStatus.BAD_REQUEST)
            return
        self.state = ParseState.IDLE
        self.had_request = True
        whole = self.incoming.complete(self.parser.get_method())
        if whole is None:
            self.reject(HTTPStatus.BAD_REQUEST)
            return
        request, host = whole
        keep_alive = self.parser.should_keep_alive()
        exchange = Exchange(self, self.request_started, request, host.decode("latin-1"), keep_alive)
        exchange.held = self.incoming.size.held
        self.incoming = IncomingRequest()
        self.exchanges.append(exchange)
        self.waiting_bytes += exchange.held
        self.count_held()
        if self.listener.guard.refuses(Place.CALLERS):
            exchange.respond(RelayResponse(HTTPStatus.SERVICE_UNAVAILABLE, RETRY_AFTER, b""))
            return
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
            self.waiting_bytes -= exchange.held
            last = not self.exchanges and not self.unparsed and self.state is ParseState.IDLE
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
            # Not at once, as the parser may be calling.
            asyncio.get_running_loop().call_soon(self._resume)
        if out:
            self.count_held()

    def reject(self, status: int) -> None:
        """Answer a request with an error status, after the earlier ones, and close."""
        self.rejected = True
        self.incoming = IncomingRequest()
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
        return has_unread_data(self.transport)

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
        self.waiting_bytes, self.unparsed = 0, b""
        for exchange in dropped:
            if exchange.on_abandoned is not None:
                exchange.on_abandoned(self.closed_by)

    def _check_head(self) -> None:
        if self.incoming.size.head > self.listener.limits.head_bytes and not self.rejected:
            self.reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
