"""HTTP/1.1 connections to the one upstream next to this daemon."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

import httptools

from agatecross_core.constants import MAX_RESPONSE_BYTES
from agatecross_core.ids import Address, Millis
from agatecross_core.relay.model import Handover, RelayResponse
from agatecross_core.relay.response_size import MAX_RESPONSE_HEAD, MAX_UNFINISHED, ResponseSize

from .caller_http import CONNECTION_FIELDS
from .header_names import HeaderNames

CONNECT_TIMEOUT_SECONDS = 1.0
# An idle connection is used for at most this share of the time the upstream keeps it.
IDLE_SHARE = 0.6
# The upstream's idle timeout when it states none.
DEFAULT_IDLE = Millis(3_000)
MAX_IDLE = 64
WITH_LENGTH = frozenset((b"POST", b"PUT", b"PATCH"))
BODILESS = frozenset((204, 304))
CONTINUE_MAX = 199
# A response that begins or goes on after its call's deadline ends within this time or is cut off.
# The largest one needs 64 Mbit/s for that, and the upstream is on the same machine.
LATE_SECONDS = 1.0
# The colon, the space and the line end of a field.
FIELD_EXTRA = 4


class Failure(Enum):
    """Why an exchange with the upstream brought no whole response."""

    NOT_CONNECTED = "not-connected"
    CONNECTION_LOST = "connection-lost"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    TOO_LATE = "too-late"


class Unreachable(Enum):
    """How a connection attempt failed: nobody listens, or no answer came."""

    REFUSED = "refused"
    SILENT = "silent"


UpstreamDone = Callable[[RelayResponse | Failure], None]


@dataclass(slots=True)
class Running:
    """The request that a connection carries."""

    call_id: bytes
    method: bytes
    done: UpstreamDone
    size: ResponseSize = field(default_factory=ResponseSize)


class UpstreamPool:
    """Keeps connections to one address and sends one request at a time on each."""

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        on_unreachable: Callable[[Unreachable], None],
    ) -> None:
        """Call `on_unreachable` when a connection attempt fails."""
        self.address = address
        self.names = names
        self.on_unreachable = on_unreachable
        self.idle: list[UpstreamConnection] = []
        self.connections: set[UpstreamConnection] = set()
        self.dialing: set[asyncio.Task[None]] = set()
        # Bytes read of responses that are not whole yet.
        self.unfinished = 0

    def send(self, handover: Handover, left: Millis, done: UpstreamDone) -> "Sending":
        """Send the request on the connection that was used last, or on a new one."""
        sending = Sending(self, handover, left, done)
        now = time.monotonic() * 1000
        while self.idle:
            connection = self.idle.pop()
            if connection.usable(now):
                sending.begin(connection)
                return sending
            connection.close()
        self._start(self._dial_for(sending))
        return sending

    def probe(self) -> None:
        """Open a connection for the next request, to learn whether the upstream still listens."""
        self._start(self._dial_spare())

    def release(self, connection: "UpstreamConnection") -> None:
        """Keep a connection for the next request."""
        if len(self.idle) < MAX_IDLE:
            self.idle.append(connection)
        else:
            connection.close()

    def add_unfinished(self, count: int) -> None:
        """Count what was read of a response; the largest one fails when all are too large."""
        self.unfinished += count
        if self.unfinished > MAX_UNFINISHED:
            max(self.connections, key=UpstreamConnection.bytes_read).fail(Failure.TOO_LARGE)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.close()
        self.idle.clear()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.dialing.add(task)
        task.add_done_callback(self.dialing.discard)

    async def _dial_for(self, sending: "Sending") -> None:
        connection = await self._dial()
        if connection is None:
            sending.failed(Failure.NOT_CONNECTED)
        elif sending.stopped:
            self.release(connection)
            sending.failed(Failure.NOT_CONNECTED)
        else:
            sending.begin(connection)

    async def _dial_spare(self) -> None:
        connection = await self._dial()
        if connection is not None:
            connection.idle_since = Millis(time.monotonic() * 1000)
            self.release(connection)

    async def _dial(self) -> "UpstreamConnection | None":
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self), host, int(port)
                )
        except ConnectionRefusedError:
            self.on_unreachable(Unreachable.REFUSED)
            return None
        except (OSError, TimeoutError):
            self.on_unreachable(Unreachable.SILENT)
            return None
        return connection


class Sending:
    """One request on its way to the upstream."""

    def __init__(
        self, pool: UpstreamPool, handover: Handover, left: Millis, done: UpstreamDone
    ) -> None:
        self.pool = pool
        self.handover = handover
        self.left = left
        self.done = done
        self.connection: UpstreamConnection | None = None
        self.size: ResponseSize | None = None
        self.stopped = False

    def begin(self, connection: "UpstreamConnection") -> None:
        """Write the request."""
        self.connection = connection
        request = self.handover.request
        running = Running(self.handover.call_id.encode("latin-1"), request.method, self.done)
        self.size = running.size
        connection.carry(running, encode_request(self.handover, self.left, self.pool.names))

    def stop(self) -> None:
        """Close the connection, which makes the upstream drop the request."""
        self.stopped = True
        if self.connection is not None:
            self.connection.close()

    def give_up(self) -> None:
        """Let the upstream end the run, but do not wait for a response that does not end.

        A request that was not written by now is never written.
        """
        if self.connection is None:
            self.stopped = True
        else:
            self.connection.give_up()

    @property
    def bytes_read(self) -> int:
        """Return how many bytes the upstream sent for the request."""
        return self.size.read if self.size is not None else 0

    def failed(self, failure: Failure) -> None:
        """Report that the request was not written."""
        self.done(failure)


class UpstreamConnection(asyncio.Protocol):
    """One connection to the upstream."""

    transport: asyncio.Transport

    def __init__(self, pool: UpstreamPool) -> None:
        self.pool = pool
        self.parser = httptools.HttpResponseParser(self)
        self.running: Running | None = None
        self.headers: list[tuple[bytes, bytes]] = []
        # A list of parts would take many times the bytes of a body in small chunks.
        self.body = bytearray()
        self.in_message = False
        self.until_eof = False
        self.reusable = True
        self.given_up = False
        self.cut_off: asyncio.TimerHandle | None = None
        self.idle_since = Millis(0)
        self.idle_limit = DEFAULT_IDLE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.pool.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the request whose response is not whole."""
        self.reusable = False
        self.pool.connections.discard(self)
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self._end(Failure.CONNECTION_LOST)

    def eof_received(self) -> bool:
        """End a response without a length; only an orderly close makes it whole."""
        if self.in_message and self.until_eof and self.running is not None:
            self._complete()
        return False

    def usable(self, now: float) -> bool:
        """Return whether an idle connection may carry another request."""
        fresh = now - self.idle_since < self.idle_limit
        return fresh and self.reusable and not self.transport.is_closing()

    def close(self) -> None:
        """Close at once; the response of a running request is dropped."""
        self.reusable = False
        self.transport.abort()

    def give_up(self) -> None:
        """Cut off the response if it does not end soon after its first byte."""
        self.given_up = True
        if self.bytes_read():
            self._cut_off_later()

    def carry(self, running: Running, data: bytes) -> None:
        """Send one request."""
        self.running = running
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        """Parse what was read; bytes that belong to no request end the connection."""
        running = self.running
        if running is None:
            self.close()
            return
        running.size.read += len(data)
        self.pool.add_unfinished(len(data))
        if self.given_up:
            self._cut_off_later()
        if self.running is None:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.fail(Failure.MALFORMED)
            return
        if self.running is not None and running.size.exceeded:
            self.fail(Failure.TOO_LARGE)

    def bytes_read(self) -> int:
        """Return how much was read of the response that is not whole yet."""
        return self.running.size.read if self.running is not None else 0

    def fail(self, failure: Failure) -> None:
        """Close at once and fail the running request."""
        self.close()
        self._end(failure)

    def on_message_begin(self) -> None:
        """Start a response; a second one for the same request is never used."""
        if self.headers:
            self.headers = []
        if self.body:
            self.body = bytearray()
        self.in_message = True
        self.until_eof = False
        if self.running is None:
            self.reusable = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect one header field, or a trailer."""
        running = self.running
        if running is not None:
            size = running.size
            size.fields += len(name) + len(value) + FIELD_EXTRA
            if size.fields <= MAX_RESPONSE_HEAD:
                self.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Decide how the body ends and for how long the connection may be kept."""
        framed = False
        stated = 0
        for name, value in self.headers:
            if name in (b"content-length", b"transfer-encoding"):
                framed = True
                stated = int(value) if name == b"content-length" else stated
            elif name == b"connection" and value.lower() == b"close":
                self.reusable = False
            elif name == b"keep-alive":
                self._learn_idle_limit(value)
        status = self.parser.get_status_code()
        self.until_eof = not framed and status > CONTINUE_MAX and status not in BODILESS
        if self.until_eof:
            self.reusable = False
        if self.running is not None and self.running.method == b"HEAD":
            self.reusable = False
            self._complete()
        elif stated > MAX_RESPONSE_BYTES and status > CONTINUE_MAX and status not in BODILESS:
            self.fail(Failure.TOO_LARGE)

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        running = self.running
        if running is not None:
            size = running.size
            size.body += len(body)
            if size.body <= MAX_RESPONSE_BYTES:
                self.body += body

    def on_message_complete(self) -> None:
        """Hand over a whole response."""
        if self.parser.get_status_code() > CONTINUE_MAX:
            self._complete()
        self.in_message = False

    def _complete(self) -> None:
        running = self.running
        if running is None:
            self.reusable = False
            return
        echoed = [value for name, value in self.headers if name == self.pool.names.call_id]
        if echoed and echoed[0] != running.call_id:
            # A late extra response to an earlier request: the one that is due still follows.
            self.reusable = False
            return
        if running.size.content_exceeded:
            self.fail(Failure.TOO_LARGE)
            return
        self._release_running()
        rows = tuple(row for row in self.headers if row[0] not in CONNECTION_FIELDS)
        response = RelayResponse(self.parser.get_status_code(), rows, bytes(self.body))
        # An idle connection keeps nothing of its last response.
        self.headers, self.body = [], bytearray()
        # Bytes that follow the response in the same read decide whether the connection is kept.
        asyncio.get_running_loop().call_soon(self._settle, running, response)

    def _settle(self, running: Running, response: RelayResponse) -> None:
        if self.reusable and not self.transport.is_closing():
            self.idle_since = Millis(time.monotonic() * 1000)
            self.pool.release(self)
        else:
            self.transport.close()
        running.done(response)

    def _end(self, failure: Failure) -> None:
        running = self._release_running()
        self.headers, self.body = [], bytearray()
        if running is not None:
            running.done(failure)

    def _cut_off_later(self) -> None:
        if self.cut_off is None and self.running is not None:
            loop = asyncio.get_running_loop()
            self.cut_off = loop.call_later(LATE_SECONDS, self.fail, Failure.TOO_LATE)

    def _release_running(self) -> Running | None:
        self.given_up = False
        if self.cut_off is not None:
            self.cut_off.cancel()
            self.cut_off = None
        running, self.running = self.running, None
        if running is not None:
            self.pool.unfinished -= running.size.read
        return running

    def _learn_idle_limit(self, value: bytes) -> None:
        for part in value.split(b","):
            key, _, number = part.strip().partition(b"=")
            if key == b"timeout" and number.isdigit():
                self.idle_limit = Millis(int(number) * 1000 * IDLE_SHARE)


def encode_request(handover: Handover, left: Millis, names: HeaderNames) -> bytes:
    """Return the request as it goes to the upstream, with the time left and the instance."""
    request = handover.request
    out = [request.method, b" ", request.target, b" HTTP/1.1\r\n"]
    for name, value in request.headers:
        out += (name, b": ", value, b"\r\n")
    out.append(b"%s: %d\r\n" % (names.time_left, max(1, int(left))))
    out.append(b"%s: %s\r\n" % (names.expected_instance, handover.instance.encode("latin-1")))
    if request.body or request.method in WITH_LENGTH:
        out.append(b"content-length: %d\r\n" % len(request.body))
    out += (b"\r\n", request.body)
    return b"".join(out)
