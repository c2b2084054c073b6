"""Connection of a caller; serves pipelined requests concurrently and answers them in order."""

import asyncio
import time
from http import HTTPStatus
from typing import Protocol

from agatecross_core.admission.connection_budget import (
    ConnectionPhase,
    HeldConnection,
    Place,
    ShedReason,
)
from agatecross_core.admission.pipelining import MAX_WAITING_BYTES
from agatecross_core.ids import Millis
from agatecross_core.relay.model import RelayRequest, RelayResponse
from agatecross_core.routing.host_table import CallerLimits

from .caller_exchange import ClosedBy, Exchange, ExchangeHandler
from .connection_guard import ConnectionGuard
from .half_close import half_close, has_unread_data
from .http1_bytes import encode_response
from .incoming_request import IncomingRequest
from .reading_turns import TURN_BYTES, ReadingTurns
from .request_queue import RequestQueue
from .request_reader import ParseState, RequestReader

# Reading pauses while more pipelined requests than this wait for responses.
MAX_PIPELINED_REQUESTS = 64
# The parser gets so much at a time, since it collects an unfinished field and calls back for many
# small ones before the limits can be checked.
PARSED_BYTES = 8_192
# Refuses a request for lack of memory, or one that was not started before the connection closes.
NOT_RUN = RelayResponse(HTTPStatus.SERVICE_UNAVAILABLE, ((b"retry-after", b"0.1"),), b"")
# A caller normally closes its side within a round trip; otherwise the connection is aborted
# after this time.
LINGER_TIMEOUT = Millis(1_000)


class ConnectionOwner(Protocol):
    """Interface of the listener that accepted a connection."""

    handler: ExchangeHandler
    limits: CallerLimits
    connections: "set[CallerConnection]"
    closing: bool
    guard: ConnectionGuard
    turns: ReadingTurns


# Filled by one connection at a time, whose data is copied before the next one reads.
READ_VIEW = memoryview(bytearray(TURN_BYTES))


class CallerConnection(asyncio.BufferedProtocol):
    """One connection of a caller; parses its requests and writes their responses."""

    transport: asyncio.Transport

    def __init__(self, listener: ConnectionOwner) -> None:
        self.listener = listener
        self.reader = RequestReader(self)
        self.requests = RequestQueue()
        self.exchanges = self.requests.exchanges
        # Bytes received behind more requests than may wait for responses.
        self.unparsed = b""
        # Bytes of responses at the last count.
        self.unsent_counted = 0
        self.starting = False
        self.rejected = False
        self.waits_for_turn = False
        self.pipeline_full = False
        self.write_blocked = False
        self.had_request = False
        self.unsent_at_last_check = 0
        self.half_closed = False
        self.closed_by = ClosedBy.CALLER

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self.listener.limits

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_WAITING_BYTES)
        self.listener.connections.add(self)
        peer_name = transport.get_extra_info("peername")
        self.held: HeldConnection = self.listener.guard.add(self, Place.CALLERS, peer_name)

    def connection_lost(self, exc: Exception | None) -> None:
        """Abandon the requests that can no longer be answered."""
        self.listener.connections.discard(self)
        self.listener.guard.remove(self.held)
        self.reader.close()
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

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return a buffer for what can be parsed in this turn, or for one piece."""
        del sizehint
        return READ_VIEW[: max(PARSED_BYTES, self.listener.turns.left)]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the data from the buffer."""
        self.data_received(bytes(READ_VIEW[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data; data after a rejected request or after the half-close is ignored."""
        if self.reader.ended:
            return
        if self.waits_for_turn:
            self.unparsed += data
        else:
            self._parse(self.unparsed + data)
            self.count_held()

    def _parse(self, data: bytes) -> None:
        """Parse data piece by piece, until too many requests wait for responses."""
        position = 0
        while position < len(data) and not (
            self.reader.ended or self.pipeline_full or self.write_blocked
        ):
            piece = data if len(data) <= PARSED_BYTES else data[position : position + PARSED_BYTES]
            is_short = len(data) < PARSED_BYTES and not self.reader.has_begun
            if not (is_short or self.listener.turns.take(len(piece))):
                self._wait_for_turn()
                break
            position += len(piece)
            self.reader.feed(piece)
        done = self.reader.ended or position >= len(data)
        self.unparsed = b"" if done else data[position:]

    def _wait_for_turn(self) -> None:
        self.waits_for_turn = True
        self.transport.pause_reading()
        self.listener.turns.wait(self)

    def continue_parsing(self) -> None:
        """Parse what was received before this turn."""
        self.waits_for_turn = False
        if not self.transport.is_closing():
            self._resume()

    def _resume(self) -> None:
        """Start and parse what waits behind requests that are answered now, then read on."""
        self._start_requests()
        if self.unparsed and not self.transport.is_closing():
            self.data_received(b"")
        if not (self.waits_for_turn or self.unparsed or self.pipeline_full or self.write_blocked):
            self.transport.resume_reading()

    def hold_response(self, exchange: Exchange, size: int) -> None:
        """Count a response instead of its request until it is due."""
        if not self.half_closed:
            self.requests.hold_response(exchange, size)
            self.count_held()

    def count_held(self) -> None:
        """Count what this connection holds, which may refuse or close it."""
        if self.transport.is_closing():
            return
        unsent = self.unsent_counted = self.transport.get_write_buffer_size()
        held = (
            self.reader.incoming.size.held + self.requests.held_bytes + len(self.unparsed) + unsent
        )
        self.listener.guard.update(self.held, held, self._phase())

    def _phase(self) -> ConnectionPhase:
        if unsent := self.transport.get_write_buffer_size():
            is_over = self.write_blocked or unsent + self.requests.held_bytes > MAX_WAITING_BYTES
            return ConnectionPhase.UNREAD if is_over else ConnectionPhase.SENDING
        if self.half_closed:
            return ConnectionPhase.SILENT
        if self.reader.state is not ParseState.IDLE:
            return ConnectionPhase.READING
        if self.exchanges:
            return ConnectionPhase.SERVING
        return ConnectionPhase.IDLE if self.had_request else ConnectionPhase.SILENT

    def shed(self, reason: ShedReason) -> bool:
        """Refuse the incomplete request as not run; close at once if that takes a place."""
        is_reading = self._phase() is ConnectionPhase.READING
        if not is_reading or (reason is ShedReason.PLACES and not self.exchanges):
            self.closed_by = ClosedBy.DAEMON
            self.transport.abort()
            return True
        if not self.rejected:
            self.reject(HTTPStatus.SERVICE_UNAVAILABLE)
        return False

    def send_continue(self) -> None:
        """Ask for the body of a request, unless responses to earlier ones come first."""
        if not self.exchanges:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def take_request(self, request: RelayRequest, host: str, keep_alive: bool, size: int) -> None:
        """Pass a complete request, which holds so many bytes, to the handler."""
        self.had_request = True
        exchange = Exchange(self, self.reader.request_started, request, host, keep_alive)
        self.requests.add(exchange, size)
        self.count_held()
        if self.listener.guard.refuses(Place.CALLERS):
            exchange.respond(NOT_RUN)
            return
        if len(self.exchanges) > MAX_PIPELINED_REQUESTS and not self.pipeline_full:
            self.pipeline_full = True
            self.transport.pause_reading()
        self.requests.unstarted.append(exchange)
        self._start_requests()

    def _start_requests(self) -> None:
        """Start the requests that need not wait until the caller reads responses."""
        if self.starting:
            # A handler that responds at once ends here; the loop below goes on.
            return
        self.starting = True
        while self.requests.unstarted and not (
            self.write_blocked or self.half_closed or self.transport.is_closing()
        ):
            unsent = self.transport.get_write_buffer_size()
            exchange = self.requests.next_to_start(unsent, self.listener.guard.is_short)
            if exchange is None:
                break
            self._start(exchange)
        self.starting = False

    def _start(self, exchange: Exchange) -> None:
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
        while not close and (exchange := self.requests.next_due()) is not None:
            assert exchange.response is not None
            last = not self.exchanges and not self.unparsed and self.reader.state is ParseState.IDLE
            close = not exchange.keep_alive or (self.listener.closing and last)
            out += encode_response(exchange.request.method, exchange.response, close)
        if out:
            self.transport.write(b"".join(out))
            if self.reader.state is ParseState.IDLE:
                self.reader.waiting_since = Millis(time.monotonic() * 1000)
        if close or (self.rejected and not self.exchanges):
            self.close_gracefully()
        elif self.pipeline_full and len(self.exchanges) < MAX_PIPELINED_REQUESTS:
            self.pipeline_full = False
            # Not at once, as the parser may be calling.
            asyncio.get_running_loop().call_soon(self._resume)
        if out:
            self.count_held()
        if self.requests.unstarted:
            self._start_requests()

    def reject(self, status: int) -> None:
        """Answer a request with an error status, after the earlier ones, and close."""
        self.rejected = self.reader.ended = True
        self.reader.incoming = IncomingRequest()
        empty = RelayRequest(b"GET", b"/", (), b"")
        exchange = Exchange(self, self.reader.waiting_since, empty, "", False)
        self.requests.add(exchange, 0)
        exchange.respond(RelayResponse(status, (), b""))

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or answered."""
        if not self.exchanges and not self.unparsed and self.reader.state is ParseState.IDLE:
            self.close_gracefully()

    def notify_handlers_of_close(self) -> None:
        """Call `on_abandoned` of the waiting requests before the daemon closes the connection.

        A handler may still respond during this call; a later response is not sent. Requests that
        were not started are refused.
        """
        self.closed_by = ClosedBy.DAEMON
        for exchange in self.requests.take_unstarted():
            exchange.respond(NOT_RUN)
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
        self.half_closed = self.reader.ended = True
        self.closed_by = ClosedBy.DAEMON
        self.reader.waiting_since = Millis(time.monotonic() * 1000)
        self._drop_exchanges()
        self.transport.resume_reading()
        half_close(self.transport)

    def has_unread_data(self) -> bool:
        """Return whether the kernel holds data from this caller that was not read."""
        return has_unread_data(self.transport)

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it is idle too long; reject a request that arrives too slowly."""
        limits = self.listener.limits
        if self.unsent_counted != self.transport.get_write_buffer_size():
            # The kernel takes data without a call to this connection.
            self.count_held()
        waited = now - self.reader.waiting_since
        if self.half_closed:
            buffered = self.transport.get_write_buffer_size()
            if buffered != self.unsent_at_last_check:
                self.unsent_at_last_check, self.reader.waiting_since = buffered, Millis(now)
            elif waited > (limits.idle_timeout if buffered else LINGER_TIMEOUT):
                self.transport.abort()
            return
        if self.reader.state is ParseState.IDLE:
            if waited > limits.idle_timeout:
                self.close_if_idle()
        elif not self.rejected and waited > (
            limits.head_timeout if self.reader.state is ParseState.HEAD else limits.idle_timeout
        ):
            self.reject(408)

    def _drop_exchanges(self) -> None:
        self.unparsed = b""
        for exchange in self.requests.drop():
            if exchange.on_abandoned is not None:
                exchange.on_abandoned(self.closed_by)
