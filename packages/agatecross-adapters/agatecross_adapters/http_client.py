"""HTTP/1.1 client on tornado's connections, with a connection pool for each address."""

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
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
from agatecross_core.ids import Address, Millis

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
        # Times of the monotonic clock; a connection that was never idle is new.
        self.idle_since: float | None = None
        self.taken_at = 0.0

    def describe(self) -> str:
        """Return whether the connection is new, or for how long it was idle before its request."""
        if self.idle_since is None:
            return "a new connection"
        return f"a connection idle for {int((self.taken_at - self.idle_since) * 1000)} ms"

    def write_to_fd(self, data: memoryview) -> int:
        """Send data and count the bytes."""
        count = super().write_to_fd(data)
        self.sent_bytes += count
        return count

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection is recent, open and free of unexpected data."""
        idle_since = now if self.idle_since is None else self.idle_since
        if self.closed() or (now - idle_since) * 1000 > CLIENT_IDLE_TIMEOUT:
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

    def __init__(self, timer: asyncio.Timeout, limits: BodyTimeouts | None) -> None:
        self.timer = timer
        self.limits = limits
        self.latest: float | None = None

    def extend(self) -> None:
        """Allow the time for the next part, unless the time for the whole body is over."""
        if self.limits is None or self.timer.expired():
            return
        now = asyncio.get_running_loop().time()
        if self.latest is None:
            self.latest = now + self.limits.total / 1000
        self.timer.reschedule(min(self.latest, now + self.limits.stall / 1000))


class TornadoHttpClient:
    """Sends requests over pooled connections; one connection carries one request at a time.

    With `body_timeouts`, the timeout of a request bounds only the time to the head of its response.
    """

    def __init__(
        self,
        max_idle: int = MAX_IDLE_CONNECTIONS_PER_PEER,
        body_timeouts: BodyTimeouts | None = None,
    ) -> None:
        self.max_idle = max_idle
        self.body_timeouts = body_timeouts
        self.idle: dict[Address, deque[ClientStream]] = {}

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the complete response; raises a subclass of `ExchangeError`."""
        deadline = time.monotonic() + timeout / 1000
        while stream := self._take_idle(address):
            try:
                return await self._send_on(address, stream, request, deadline)
            except ConnectFailedError:
                # The server closed the pooled connection before the first byte was sent.
                continue
        stream = await self._connect(address, timeout)
        return await self._send_on(address, stream, request, deadline)

    def _take_idle(self, address: Address) -> ClientStream | None:
        idle = self.idle.get(address)
        now = time.monotonic()
        while idle:
            stream = idle.pop()
            if stream.is_usable(now):
                stream.taken_at = now
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
        self, address: Address, stream: ClientStream, request: Request, deadline: float
    ) -> Response:
        stream.sent_bytes = 0
        keep = False
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())) as timer:
                extend = BodyTimer(timer, self.body_timeouts).extend
                response, keep = await self._exchange(address, stream, request, extend)
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


def _address_family(host: str) -> socket.AddressFamily:
    return socket.AF_INET6 if ":" in host else socket.AF_INET
