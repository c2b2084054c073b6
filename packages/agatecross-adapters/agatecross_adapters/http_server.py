"""HTTP/1.1 server on tornado's `HTTPServer`."""

import asyncio
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import MAX_HEAD_BYTES, MAX_REQUEST_BYTES
from agatecross_core.ids import Address

from .protocols import RequestHandler

HOP_HEADERS = frozenset(
    ("connection", "keep-alive", "transfer-encoding", "content-length", "te", "upgrade", "trailer")
)


class TornadoHttpListener:
    """Serves whole requests with whole responses."""

    def __init__(self) -> None:
        self.server: HTTPServer | None = None
        self.handler: RequestHandler | None = None
        self.running: set[asyncio.Task[None]] = set()
        self.closing = False

    def listen(self, address: Address, handler: RequestHandler) -> Address:
        """Start to serve and return the bound address."""
        host, _, port = address.rpartition(":")
        sockets = bind_sockets(int(port), host, backlog=1024)
        self.handler = handler
        self.server = HTTPServer(
            self._received, max_header_size=MAX_HEAD_BYTES, max_body_size=MAX_REQUEST_BYTES
        )
        self.server.add_sockets(sockets)
        return Address(f"{host}:{sockets[0].getsockname()[1]}")

    def close_idle(self) -> None:
        """Accept no new connection; connections close after their current response."""
        self.closing = True
        if self.server is not None:
            self.server.stop()

    async def close(self) -> None:
        """Wait for running handlers, then close every connection."""
        self.close_idle()
        if self.running:
            await asyncio.wait(self.running)
        if self.server is not None:
            await self.server.close_all_connections()

    def _received(self, received: HTTPServerRequest) -> None:
        task = asyncio.ensure_future(self._answer(received))
        self.running.add(task)
        task.add_done_callback(self.running.discard)
        assert isinstance(received.connection, HTTP1Connection)
        received.connection.set_close_callback(lambda: _cancel(task))

    async def _answer(self, received: HTTPServerRequest) -> None:
        assert self.handler is not None
        request = Request(
            received.method or "GET",
            received.uri or "/",
            tuple(received.headers.get_all()),
            received.body,
        )
        response = await self.handler(request)
        self._write(received, response)

    def _write(self, received: HTTPServerRequest, response: Response) -> None:
        connection = received.connection
        assert isinstance(connection, HTTP1Connection)
        headers = HTTPHeaders()
        for name, value in response.headers:
            if name.lower() not in HOP_HEADERS:
                headers.add(name, value)
        headers["Content-Length"] = str(len(response.body))
        if self.closing:
            headers["Connection"] = "close"
        reason = responses.get(response.status, "Unknown")
        start = ResponseStartLine("HTTP/1.1", response.status, reason)
        body = b"" if received.method == "HEAD" else response.body
        connection.set_close_callback(None)
        try:
            connection.write_headers(start, headers, body)
            connection.finish()
        except StreamClosedError:
            return


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
