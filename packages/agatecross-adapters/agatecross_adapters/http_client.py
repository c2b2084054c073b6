"""HTTP/1.1 client on tornado's connections, with a pool for each address."""

import asyncio
import time
from collections import deque

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import (
    CONNECT_TIMEOUT,
    MAX_HEAD_BYTES,
    MAX_IDLE_CONNECTIONS_PER_PEER,
    MAX_RESPONSE_BYTES,
)
from agatecross_core.errors import ConnectFailedError, ConnectionLostError, ExchangeTimeoutError
from agatecross_core.ids import Address, Millis

PARAMETERS = HTTP1ConnectionParameters(
    no_keep_alive=False,
    max_header_size=MAX_HEAD_BYTES,
    max_body_size=MAX_RESPONSE_BYTES,
)


class ResponseCollector(HTTPMessageDelegate):
    """Collects one response until it is whole."""

    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.whole = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Keep the head; an interim response is replaced by the final one."""
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        """Keep one part of the body."""
        self.chunks.append(chunk)

    def finish(self) -> None:
        """Note that the response is whole."""
        self.whole = True


class TornadoHttpClient:
    """Sends requests over pooled connections; one connection carries one request at a time."""

    def __init__(self, max_idle: int = MAX_IDLE_CONNECTIONS_PER_PEER) -> None:
        self.max_idle = max_idle
        self.connector = TCPClient()
        self.idle: dict[Address, deque[IOStream]] = {}

    async def send(self, address: Address, request: Request, timeout: Millis) -> Response:
        """Return the whole response; raises a subclass of `ExchangeError`."""
        deadline = time.monotonic() + timeout / 1000
        stream = await self._connection(address, timeout)
        keep = False
        try:
            async with asyncio.timeout(max(0.0, deadline - time.monotonic())):
                response = await self._exchange(address, stream, request)
            keep = (response.header("Connection") or "").lower() != "close"
            return response
        except TimeoutError as error:
            raise ExchangeTimeoutError(address, "no complete response in time") from error
        finally:
            # A connection whose response was not read to its end could deliver it to a later call.
            self._release(address, stream, keep)

    async def _connection(self, address: Address, timeout: Millis) -> IOStream:
        idle = self.idle.get(address)
        while idle:
            stream = idle.pop()
            if not stream.closed():
                return stream
        host, _, port = address.rpartition(":")
        limit = min(timeout, CONNECT_TIMEOUT) / 1000
        try:
            stream = await asyncio.wait_for(self.connector.connect(host, int(port)), limit)
        except (OSError, TimeoutError, StreamClosedError) as error:
            raise ConnectFailedError(address, str(error) or type(error).__name__) from error
        stream.set_nodelay(True)
        return stream

    async def _exchange(self, address: Address, stream: IOStream, request: Request) -> Response:
        connection = HTTP1Connection(stream, True, PARAMETERS)
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        headers["Host"] = headers.get("Host", address)
        headers["Content-Length"] = str(len(request.body))
        start = RequestStartLine(request.method, request.path, "HTTP/1.1")
        collector = ResponseCollector()
        try:
            write = connection.write_headers(start, headers, request.body)
            connection.finish()
            await write
            await connection.read_response(collector)
        except StreamClosedError as error:
            raise ConnectionLostError(address, "connection closed") from error
        if not collector.whole:
            raise ConnectionLostError(address, "response is not complete")
        fields = tuple(collector.headers.get_all())
        return Response(collector.status, fields, b"".join(collector.chunks))

    def _release(self, address: Address, stream: IOStream, keep: bool) -> None:
        idle = self.idle.setdefault(address, deque())
        if keep and not stream.closed() and len(idle) < self.max_idle:
            idle.append(stream)
        else:
            stream.close()

    def close(self) -> None:
        """Close every idle connection."""
        for streams in self.idle.values():
            for stream in streams:
                stream.close()
        self.idle.clear()
