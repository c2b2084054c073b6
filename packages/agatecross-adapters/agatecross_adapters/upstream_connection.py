"""One HTTP/1.1 connection to the local upstream."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

import httptools

from agatecross_core.admission.new_connections import NewConnections
from agatecross_core.constants import MAX_RESPONSE_BYTES
from agatecross_core.http_status import is_http_status
from agatecross_core.ids import Millis
from agatecross_core.relay.model import RelayResponse
from agatecross_core.relay.response_size import MAX_RESPONSE_HEAD_BYTES, ResponseSize

from .header_names import HeaderNames
from .http1_bytes import BODILESS_STATUSES, HOP_BY_HOP_FIELDS

# An idle connection is reused only within this fraction of the upstream's idle timeout.
IDLE_REUSE_FRACTION = 0.6
# Limit for the reuse of an idle connection when the upstream states no idle timeout.
DEFAULT_IDLE_LIMIT = Millis(3_000)
MAX_INTERIM_STATUS = 199
# A response that begins or continues after its call's deadline must end within this time, or it is
# cut off. The largest one needs 64 Mbit/s for that, and the upstream runs on the same machine.
LATE_RESPONSE_SECONDS = 1.0
# An upstream stops work at the deadline that it was told. Its connection is silent if no byte has
# arrived by this time after it; an upstream that is paused or starved answers later than usual.
SILENT_RUN_SECONDS = 3.0
# The colon, the space and the line end of a header field.
FIELD_OVERHEAD_BYTES = 4


class UpstreamFailure(Enum):
    """Why an exchange with the upstream gave no complete response.

    With `NOT_CONNECTED` and `RESET_UNUSED` the request was not written; the latter is the failure
    of a new connection that the upstream reset, as some do when they are full.
    """

    NOT_CONNECTED = "not-connected"
    RESET_UNUSED = "reset-unused"
    CONNECTION_LOST = "connection-lost"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_LATE = "too-late"


UNSENT_FAILURES = frozenset((UpstreamFailure.NOT_CONNECTED, UpstreamFailure.RESET_UNUSED))

UpstreamCallback = Callable[[RelayResponse | UpstreamFailure], None]


@dataclass(slots=True)
class RunningRequest:
    """The request that a connection currently carries."""

    call_id: bytes
    method: bytes
    on_done: UpstreamCallback
    size: ResponseSize = field(default_factory=ResponseSize)


class ConnectionPool(Protocol):
    """Interface of the pool that opened a connection."""

    names: HeaderNames
    idle: "list[UpstreamConnection]"
    connections: "set[UpstreamConnection]"
    unfinished_bytes: int
    new_connections: NewConnections
    on_reset: Callable[[], None]

    def release(self, connection: "UpstreamConnection") -> None:
        """Return an idle connection to the pool."""
        ...

    def add_unfinished_bytes(self, count: int) -> None:
        """Count bytes read of incomplete responses; over the limit, the largest response fails."""
        ...


class UpstreamConnection(asyncio.Protocol):
    """One connection to the upstream."""

    transport: asyncio.Transport

    def __init__(self, pool: ConnectionPool) -> None:
        self.pool = pool
        self.parser = httptools.HttpResponseParser(self)
        self.running: RunningRequest | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        # A list of parts would take many times the memory of a body that arrives in small chunks.
        self.body = bytearray()
        self.in_message = False
        self.body_until_eof = False
        self.reusable = True
        self.closed_here = False
        self.requests_sent = 0
        # The upstream has sent a byte on this connection.
        self.answered = False
        self.late = False
        self.cut_off_timer: asyncio.TimerHandle | None = None
        self.idle_since = Millis(0)
        self.sent_at = Millis(0)
        self.idle_limit = DEFAULT_IDLE_LIMIT

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.pool.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request whose response is incomplete."""
        self.reusable = False
        self.pool.connections.discard(self)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        is_unanswered = not self.answered
        self._fail_running(UpstreamFailure.CONNECTION_LOST)
        if not self.closed_here:
            if is_unanswered:
                self.pool.new_connections.record_reset(Millis(time.monotonic() * 1000))
            self.pool.on_reset()

    def eof_received(self) -> bool:
        """Complete a response whose body ends with the connection; a reset does not complete it."""
        if self.in_message and self.body_until_eof and self.running is not None:
            self._complete_response()
        return False

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may carry another request."""
        fresh = now - self.idle_since < self.idle_limit
        return fresh and self.reusable and not self.transport.is_closing()

    def close(self) -> None:
        """Close at once, dropping the response to the running request."""
        self.reusable = False
        self.closed_here = True
        self.transport.abort()

    def mark_late(self) -> None:
        """Cut off the response unless it ends soon.

        It gets `LATE_RESPONSE_SECONDS` from now, or from its first byte if that arrives later.
        Without a byte, the connection is silent after `SILENT_RUN_SECONDS`.
        """
        self.late = True
        self._schedule_cut_off(LATE_RESPONSE_SECONDS if self.bytes_read() else SILENT_RUN_SECONDS)

    def send_request(self, running: RunningRequest, data: bytes) -> None:
        """Send one request."""
        self.running = running
        self.sent_at = Millis(time.monotonic() * 1000)
        self.requests_sent += 1
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse received data; data that belongs to no request closes the connection."""
        running = self.running
        if running is None:
            self.close()
            return
        self.answered = True
        is_first_byte = not running.size.read
        running.size.read += len(data)
        self.pool.add_unfinished_bytes(len(data))
        if self.late and is_first_byte:
            self._schedule_cut_off(LATE_RESPONSE_SECONDS)
        if self.running is None:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(UpstreamFailure.MALFORMED)
            return
        if self.running is not None and running.size.exceeded:
            self.fail(UpstreamFailure.TOO_LARGE)

    def bytes_read(self) -> int:
        """Return the number of bytes read of the incomplete response."""
        return self.running.size.read if self.running is not None else 0

    def fail(self, failure: UpstreamFailure) -> None:
        """Close at once and fail the running request."""
        self.close()
        self._fail_running(failure)

    def on_message_begin(self) -> None:
        """Start collecting a response; a second one to the same request is never used."""
        if self.headers:
            self.headers = []
        if self.body:
            self.body = bytearray()
        self.in_message = True
        self.body_until_eof = False
        if self.running is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field, or a trailer."""
        running = self.running
        if running is not None:
            size = running.size
            size.fields += len(name) + len(value) + FIELD_OVERHEAD_BYTES
            if size.fields <= MAX_RESPONSE_HEAD_BYTES:
                self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the body ends and how long the connection may be reused."""
        status = self.parser.get_status_code()
        if not is_http_status(status):
            self.fail(UpstreamFailure.MALFORMED)
            return
        framed = False
        stated_length = 0
        for name, value in self.headers:
            if name in (b"content-length", b"transfer-encoding"):
                framed = True
                stated_length = int(value) if name == b"content-length" else stated_length
            elif name == b"connection" and value.lower() == b"close":
                self.reusable = False
            elif name == b"keep-alive":
                self._update_idle_limit(value)
        self.body_until_eof = (
            not framed and status > MAX_INTERIM_STATUS and status not in BODILESS_STATUSES
        )
        if self.body_until_eof:
            self.reusable = False
        if self.running is not None and self.running.method == b"HEAD":
            self.reusable = False
            self._complete_response()
        elif (
            stated_length > MAX_RESPONSE_BYTES
            and status > MAX_INTERIM_STATUS
            and status not in BODILESS_STATUSES
        ):
            self.fail(UpstreamFailure.TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        running = self.running
        if running is not None:
            size = running.size
            size.body += len(body)
            if size.body <= MAX_RESPONSE_BYTES:
                self.body += body

    def on_message_complete(self) -> None:
        """Hand over a complete response."""
        if self.parser.get_status_code() > MAX_INTERIM_STATUS:
            self._complete_response()
        self.in_message = False

    def _complete_response(self) -> None:
        running = self.running
        if running is None:
            self.reusable = False
            return
        echoed = [value for name, value in self.headers if name == self.pool.names.call_id]
        if echoed and echoed[0] != running.call_id:
            # A late extra response to an earlier request; the expected response still follows.
            self.reusable = False
            return
        if not echoed and self.requests_sent > 1:
            # Without the id, it may be a late copy of the response to an earlier request.
            self.fail(UpstreamFailure.MALFORMED)
            return
        if running.size.content_exceeded:
            self.fail(UpstreamFailure.TOO_LARGE)
            return
        self._detach_running()
        headers = tuple(header for header in self.headers if header[0] not in HOP_BY_HOP_FIELDS)
        response = RelayResponse(self.parser.get_status_code(), headers, bytes(self.body))
        # Frees the memory of the last response while the connection is idle.
        self.headers, self.body = [], bytearray()
        # Whether data follows the response in the same read decides if the connection is reused.
        asyncio.get_running_loop().call_soon(self._deliver, running, response)

    def _deliver(self, running: RunningRequest, response: RelayResponse) -> None:
        if self.reusable and not self.transport.is_closing():
            self.idle_since = Millis(time.monotonic() * 1000)
            self.pool.release(self)
        else:
            self.closed_here = True
            self.transport.close()
        running.on_done(response)

    def _fail_running(self, failure: UpstreamFailure) -> None:
        running = self._detach_running()
        self.headers, self.body = [], bytearray()
        if running is not None:
            running.on_done(failure)

    def _schedule_cut_off(self, seconds: float) -> None:
        if self.cut_off_timer is not None:
            self.cut_off_timer.cancel()
        if self.running is not None:
            loop = asyncio.get_running_loop()
            self.cut_off_timer = loop.call_later(seconds, self.fail, UpstreamFailure.TOO_LATE)

    def _detach_running(self) -> RunningRequest | None:
        self.late = False
        if self.cut_off_timer is not None:
            self.cut_off_timer.cancel()
            self.cut_off_timer = None
        running, self.running = self.running, None
        if running is not None:
            self.pool.unfinished_bytes -= running.size.read
        return running

    def _update_idle_limit(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key == b"timeout" and number.isdigit():
                self.idle_limit = Millis(int(number) * 1000 * IDLE_REUSE_FRACTION)
