"""HTTP/1.1 client on tornado's connections, with a connection pool for each address."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import (
    CLIENT_IDLE_TIMEOUT,
    CONNECT_TIMEOUT,
    MAX_HEAD_BYTES,
    MAX_IDLE_CONNECTIONS_PER_PEER,
    MAX_RESPONSE_BYTES,
)
from agatecross_core.errors import ConnectFailedError, ConnectionLostError, ExchangeTimeoutError
from agatecross_core.http_status import is_http_status
from agatecross_core.ids import ZERO_MS, Address, Millis

from .http_fields import end_to_end_fields

CONNECTION_PARAMETERS = HTTP1ConnectionParameters(
    no_keep_alive=False,
    max_header_size=MAX_HEAD_BYTES,
    max_body_size=MAX_RESPONSE_BYTES,
)
BODILESS_STATUSES = frozenset((204, 304))
# An empty body is sent without `Content-Length` for these methods, so that the server skips reading
# a body and the timer for it.
BODILESS_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "DELETE"))


@dataclass(frozen=True, slots=True)
class BodyTimeouts:
    """Limits on the time for the body of a response, instead of one on the whole response.

    A part must arrive every `stall` ms, and the body must be complete `total` ms after its head.
    """

    stall: Millis
    total: Millis


class ClientStream(IOStream):
    """Connection to a server; counts the bytes sent of the current request."""

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock)
        self.sent_bytes = 0
        self.idle_since = 0.0
        # For how long the connection was idle before its present request; None if it is new.
        self.idle_time: Millis | None = None

    def describe(self) -> str:
        """Return whether the connection is new, or for how long it was idle before its request."""
        if self.idle_time is None:
            return "a new connection"
        return f"a connection idle for {int(self.idle_time)} ms"

    def write_to_fd(self, data: memoryview) -> int:
        """Send data and count the bytes."""
        count = super().write_to_fd(data)
        self.sent_bytes += count
        return count

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection is recent, open and free of unexpected data."""
        if self.closed() or (now - self.idle_since) * 1000 > CLIENT_IDLE_TIMEOUT:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        # The server closed the connection or sent data that belongs to no request.
        return False


class ResponseCollector(HTTPMessageDelegate):
    """Collects one response until it is complete; calls `on_part` after its head and each part."""

    def __init__(self, method: str, on_part: Callable[[], None]) -> None:
        self.method = method
        self.on_part = on_part
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.complete = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the head; that of an interim response is replaced by the final one."""
        assert isinstance(start_line, ResponseStartLine)
        if not is_http_status(start_line.code):
            raise HTTPInputError("the status is not one of HTTP")
        self.status = start_line.code
        self.headers = headers
        bodiless = self.method == "HEAD" or self.status in BODILESS_STATUSES or self.status < 200
        framed = "Content-Length" in headers or "Transfer-Encoding" in headers
        if not framed and not bodiless:
            # Such a body ends when the connection closes, so a truncated one would look complete.
            raise HTTPInputError("response without Content-Length or Transfer-Encoding")
        self.on_part()

    def data_received(self, chunk: bytes) -> None:
        """Store one part of the body."""
        self.chunks.append(chunk)
        self.on_part()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = True


class BodyTimer:
    """Moves the end of the time for a response while parts of its body arrive."""

    def __init__(
        self,
        timer: asyncio.Timeout,
        limits: BodyTimeouts | None,
        on_part: Callable[[], None] | None,
    ) -> None:
        self.timer = timer
        self.limits = limits
        self.on_part = on_part
        self.latest: float | None = None

    def extend(self) -> None:
        """Allow the time for the next part, unless the time for the whole body is over."""
        if self.on_part is not None:
            self.on_part()
        if self.limits is None or self.timer.expired():
            return
        now = asyncio.get_running_loop().time()
        if self.latest is None:
            self.latest = now + self.limits.total / 1000
        self.timer.reschedule(min(self.latest, now + self.limits.stall / 1000))


class TornadoHttpClient:
    """Sends requests over pooled connections; one connection carries one request at a time.

    With `body_timeouts`, the timeout of a request bounds only the time to the head of its response.

    An idle connection may have gone silent without a reset. With `second_try`, a request that has
    no answer on such a connection is sent again on a new one when that much of its timeout is left,
    and the first complete response counts. Every request must then be safe to repeat.
    """

    def __init__(
        self,
        max_idle: int = MAX_IDLE_CONNECTIONS_PER_PEER,
        body_timeouts: BodyTimeouts | None = None,
        second_try: Millis | None = None,
    ) -> None:
        self.max_idle = max_idle
        self.body_timeouts = body_timeouts
        self.second_try = second_try
        self.idle: dict[Address, deque[ClientStream]] = {}
        # Called with the address and the idle time when a new connection is answered instead.
        self.on_silent: Callable[[Address, Millis], None] = _ignore_silent_connection

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the complete response; raises a subclass of `ExchangeError`."""
        deadline = time.monotonic() + timeout / 1000
        while stream := self._take_idle(address):
            try:
                if self.second_try is None:
                    return await self._send_on(address, stream, request, deadline)
                return await self._send_on_idle(address, stream, request, deadline)
            except ConnectFailedError:
                # The server closed the pooled connection before the first byte was sent.
                continue
        return await self._send_on_new(address, request, deadline)

    async def _send_on_new(self, address: Address, request: Request, deadline: float) -> Response:
        timeout = Millis(max(0.0, deadline - time.monotonic()) * 1000)
        stream = await self._connect(address, timeout)
        return await self._send_on(address, stream, request, deadline)

    async def _send_on_idle(
        self, address: Address, stream: ClientStream, request: Request, deadline: float
    ) -> Response:
        """Send on an idle connection, and also on a new one if that brings no answer in time."""
        assert self.second_try is not None
        started_at = time.monotonic()
        answering = asyncio.Event()
        first = asyncio.ensure_future(
            self._send_on(address, stream, request, deadline, answering.set)
        )
        attempts = [first]
        try:
            wait = deadline - started_at - self.second_try / 1000
            await asyncio.wait(attempts, timeout=max(0.0, wait))
            if first.done() or answering.is_set():
                return await first
            second = asyncio.ensure_future(self._send_on_new(address, request, deadline))
            attempts.append(second)
            if await _first_response(attempts) is not second:
                return await first
            self._discard_idle_before(address, started_at)
            self.on_silent(address, stream.idle_time or ZERO_MS)
            return second.result()
        finally:
            for attempt in attempts:
                attempt.cancel()
            await asyncio.gather(*attempts, return_exceptions=True)

    def _discard_idle_before(self, address: Address, moment: float) -> None:
        """Close the connections that were idle already when one of them was found silent."""
        idle = self.idle.pop(address, deque())
        self.idle[address] = deque(stream for stream in idle if stream.idle_since >= moment)
        for stream in idle:
            if stream.idle_since < moment:
                stream.close()

    def _take_idle(self, address: Address) -> ClientStream | None:
        idle = self.idle.get(address)
        now = time.monotonic()
        while idle:
            stream = idle.pop()
            if stream.is_usable(now):
                stream.idle_time = Millis((now - stream.idle_since) * 1000)
                return stream
            stream.close()
        return None

    async def _connect(self, address: Address, timeout: Millis) -> ClientStream:
        host, _, port = address.rpartition(":")
        limit = min(timeout, CONNECT_TIMEOUT) / 1000
        stream: ClientStream | None = None
        try:
            stream = ClientStream(socket.socket(_address_family(host)))
            # `wait_for` would lose a cancellation that arrives as the connection opens.
            async with asyncio.timeout(limit):
                await stream.connect((host.strip("[]"), int(port)))
        except (OSError, TimeoutError, StreamClosedError) as error:
            if stream is not None:
                stream.close()
            raise ConnectFailedError(address, str(error) or type(error).__name__) from error
        stream.set_nodelay(True)
        return stream

    async def _send_on(
        self,
        address: Address,
        stream: ClientStream,
        request: Request,
        deadline: float,
        on_part: Callable[[], None] | None = None,
    ) -> Response:
        stream.sent_bytes = 0
        keep = False
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())) as timer:
                body_timer = BodyTimer(timer, self.body_timeouts, on_part)
                response, keep = await self._exchange(address, stream, request, body_timer.extend)
            return response
        except TimeoutError as error:
            reason = f"no complete response in time on {stream.describe()}"
            raise ExchangeTimeoutError(address, reason) from error
        except ConnectionLostError as error:
            if not stream.sent_bytes:
                raise ConnectFailedError(
                    address, "connection closed before a byte was sent"
                ) from error
            raise
        finally:
            # If the response was not read completely, its rest could reach a later request.
            self._release(address, stream, keep)

    async def _exchange(
        self,
        address: Address,
        stream: ClientStream,
        request: Request,
        on_part: Callable[[], None],
    ) -> tuple[Response, bool]:
        connection = HTTP1Connection(stream, True, CONNECTION_PARAMETERS)
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        headers["Host"] = headers.get("Host", address)
        if request.body or request.method not in BODILESS_METHODS:
            headers["Content-Length"] = str(len(request.body))
        start = RequestStartLine(request.method, request.path, "HTTP/1.1")
        collector = ResponseCollector(request.method, on_part)
        try:
            write = connection.write_headers(start, headers, request.body)
            connection.finish()
            await write
            await connection.read_response(collector)
        except StreamClosedError as error:
            raise ConnectionLostError(address, "connection closed") from error
        if not collector.complete:
            raise ConnectionLostError(address, "incomplete response")
        keep = collector.headers.get("Connection", "").lower() != "close"
        fields = end_to_end_fields(collector.headers)
        return Response(collector.status, fields, b"".join(collector.chunks)), keep

    def _release(self, address: Address, stream: ClientStream, keep: bool) -> None:
        idle = self.idle.setdefault(address, deque())
        if keep and not stream.closed() and len(idle) < self.max_idle:
            stream.idle_since = time.monotonic()
            idle.append(stream)
        else:
            stream.close()

    def close(self) -> None:
        """Close every idle connection."""
        for streams in self.idle.values():
            for stream in streams:
                stream.close()
        self.idle.clear()


async def _first_response(
    attempts: Iterable["asyncio.Future[Response]"],
) -> "asyncio.Future[Response] | None":
    """Return the first attempt that ends with a response, or None if all of them fail."""
    pending = set(attempts)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for attempt in done:
            if attempt.exception() is None:
                return attempt
    return None


def _ignore_silent_connection(address: Address, idle_time: Millis) -> None:
    """Report nothing."""


def _address_family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
