"""HTTP/1.1 server on tornado's `HTTPServer`."""

import asyncio
import socket
import time
from http.client import responses

from absl import logging
from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from agatecross_core.admission.connection_budget import FIELD_BYTES, Place
from agatecross_core.calls.model import Request, Response
from agatecross_core.constants import (
    MAX_HEAD_BYTES,
    MAX_REQUEST_BYTES,
    SERVER_BODY_TIMEOUT,
    SERVER_HEAD_TIMEOUT,
    SERVER_LAST_READ_TIMEOUT,
    SERVER_LINGER_TIMEOUT,
    SERVER_WRITE_TIMEOUT,
)
from agatecross_core.ids import Address, Millis
from agatecross_core.states import Outcome, Reason

from .call_headers import OUTCOME_HEADER, REASON_HEADER
from .connection_guard import ConnectionGuard, new_guard
from .http_fields import HOP_BY_HOP_FIELDS, end_to_end_fields, to_origin_form
from .protocols import RequestHandler
from .server_stream import LingeringClose, ServerStream, StreamServer, stream_of

HANDLER_FAILED_RESPONSE = Response(
    500,
    (("Content-Type", "text/plain"), (OUTCOME_HEADER, Outcome.UNKNOWN.value)),
    b"unknown: internal error\n",
)
LEAVING_RESPONSE = (
    "HTTP/1.1 503 Service Unavailable\r\n"
    f"{OUTCOME_HEADER}: {Outcome.NOT_RUN.value}\r\n{REASON_HEADER}: {Reason.LEAVING.value}\r\n"
    "Connection: close\r\nContent-Length: 0\r\n\r\n"
).encode()
SWEEPS_PER_TIMEOUT = 4
BODILESS_STATUSES = frozenset((204, 304))


class TornadoHttpListener(HTTPServerConnectionDelegate):
    """Passes complete requests to a handler and sends its responses.

    Bounds the time to receive each request and to send each response.
    """

    def __init__(
        self,
        head_timeout: Millis = SERVER_HEAD_TIMEOUT,
        body_timeout: Millis = SERVER_BODY_TIMEOUT,
        write_timeout: Millis = SERVER_WRITE_TIMEOUT,
        last_read_timeout: Millis = SERVER_LAST_READ_TIMEOUT,
        place: Place = Place.CALLERS,
        guard: ConnectionGuard | None = None,
    ) -> None:
        self.place = place
        self.guard = guard or new_guard()
        self.head_timeout = head_timeout
        self.body_timeout = body_timeout
        self.write_timeout = write_timeout
        self.last_read_timeout = last_read_timeout
        self.sockets: list[socket.socket] = []
        self.server: StreamServer | None = None
        self.handler: RequestHandler | None = None
        self.lingering = LingeringClose(SERVER_LINGER_TIMEOUT)
        self.handler_tasks: set[asyncio.Task[None]] = set()
        self.collectors: set[RequestCollector] = set()
        self.sweep_task: asyncio.Future[None] | None = None
        self.closing = False
        self.streams: set[ServerStream] = set()
        self.streams_changed = asyncio.Event()

    def listen(self, address: Address, handler: RequestHandler) -> Address:
        """Start serving and return the bound address."""
        host, _, port = address.rpartition(":")
        self.sockets = bind_sockets(int(port), host, backlog=1024)
        self.handler = handler
        self.server = StreamServer(
            self,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=MAX_REQUEST_BYTES,
        )
        self.server.open_stream = self._open_stream
        # One periodic sweep replaces a timer and its callbacks for each head and each body.
        self.server.conn_params.header_timeout = None
        self.sweep_task = asyncio.ensure_future(self._sweep_expired())
        self.server.add_sockets(self.sockets)
        return Address(f"{host}:{self.sockets[0].getsockname()[1]}")

    def close_after_responses(self) -> None:
        """Close each connection after its next response; new connections are still accepted."""
        self.closing = True

    async def close(self) -> None:
        """Answer every request that has begun to arrive, then close every connection.

        A request that is not complete within `last_read_timeout` is refused as not run.
        """
        self.closing = True
        self._stop_accepting()
        self._shorten_deadlines()
        while self.streams:
            self.streams_changed.clear()
            for collector in [
                candidate for candidate in self.collectors if not candidate.awaits_request()
            ]:
                collector.close_idle()
            if self.streams:
                await self.streams_changed.wait()
        while self.handler_tasks:
            await asyncio.wait(self.handler_tasks)
        if self.server is not None:
            await self.server.close_all_connections()
        await self.lingering.wait_closed()
        if self.sweep_task is not None:
            self.sweep_task.cancel()

    def _shorten_deadlines(self) -> None:
        self.head_timeout = min(self.head_timeout, self.last_read_timeout)
        self.body_timeout = min(self.body_timeout, self.last_read_timeout)
        latest = time.monotonic() + self.last_read_timeout / 1000
        for collector in self.collectors:
            collector.deadline = min(collector.deadline, latest)
        if self.sweep_task is not None:
            self.sweep_task.cancel()
            self.sweep_task = asyncio.ensure_future(self._sweep_expired())

    def _stop_accepting(self) -> None:
        if self.server is None:
            return
        # When a listening socket closes, the kernel resets the connections in its accept queue.
        for listening_socket in self.sockets:
            try:
                while True:
                    sock, address = listening_socket.accept()
                    self.server.handle_stream(IOStream(sock), address)
            except BlockingIOError:
                continue
            except OSError as error:
                logging.warning("event=accept_failed reason=%r", str(error))
        self.sockets = []
        self.server.stop()

    def _open_stream(self, sock: socket.socket) -> ServerStream:
        stream = ServerStream(
            sock, self.lingering.close, self._remove_stream, self.guard, self.place
        )
        self.streams.add(stream)
        return stream

    def _remove_stream(self, stream: ServerStream) -> None:
        self.streams.discard(stream)
        self.streams_changed.set()

    async def _sweep_expired(self) -> None:
        period = min(self.head_timeout, self.body_timeout) / 1000 / SWEEPS_PER_TIMEOUT
        while True:
            await asyncio.sleep(period)
            now = time.monotonic()
            for collector in [
                candidate for candidate in self.collectors if candidate.is_expired(now)
            ]:
                self.collectors.discard(collector)
                if self.closing and collector.has_begun():
                    collector.refuse()
                else:
                    collector.connection.close()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the collector of the next request on a connection."""
        del server_conn
        assert isinstance(request_conn, HTTP1Connection)
        self.streams_changed.set()
        return RequestCollector(self, request_conn)

    def handle_request(self, connection: HTTP1Connection, request: Request) -> None:
        """Answer a complete request in a task that is cancelled if its connection closes."""
        if stream_of(connection).close_announced:
            # The connection closes after the last response, which would cut off a further request.
            connection.close()
            return
        stream_of(connection).had_request = stream_of(connection).serving = True
        stream_of(connection).count_held()
        task = asyncio.ensure_future(self._respond(connection, request))
        self.handler_tasks.add(task)
        task.add_done_callback(lambda ended: self._response_done(connection, ended))
        connection.set_close_callback(lambda: _cancel(task))

    def _response_done(self, connection: HTTP1Connection, task: asyncio.Task[None]) -> None:
        self.handler_tasks.discard(task)
        stream = stream_of(connection) if connection.stream is not None else None
        if stream is not None:
            stream.serving, stream.collected_bytes = False, 0
            stream.count_held()
        if not task.cancelled() and (error := task.exception()) is not None:
            logging.error("event=answer_failed reason=%r", repr(error))
            connection.close()

    async def _respond(self, connection: HTTP1Connection, request: Request) -> None:
        assert self.handler is not None
        try:
            response = await self.handler(request)
            headers, close = self._response_headers(request, response)
        except asyncio.CancelledError:
            connection.close()
            raise
        except Exception as error:
            # A handler may raise any exception; it must neither stop the daemon nor leave the
            # client without a response.
            logging.error("event=handler_failed reason=%r", repr(error), exc_info=True)
            response = HANDLER_FAILED_RESPONSE
            headers, close = self._response_headers(request, response)
        connection.set_close_callback(None)
        stream_of(connection).close_announced = close
        bodiless = request.method == "HEAD" or response.status in BODILESS_STATUSES
        try:
            await self._write(connection, response, headers, b"" if bodiless else response.body)
        except (StreamClosedError, TimeoutError):
            close = True
        if close:
            connection.close()

    async def _write(
        self, connection: HTTP1Connection, response: Response, headers: HTTPHeaders, body: bytes
    ) -> None:
        reason = responses.get(response.status, "Unknown")
        start = ResponseStartLine("HTTP/1.1", response.status, reason)
        written = connection.write_headers(start, headers, body)
        connection.finish()
        if not written.done():
            async with asyncio.timeout(self.write_timeout / 1000):
                await written

    def _response_headers(self, request: Request, response: Response) -> tuple[HTTPHeaders, bool]:
        headers = HTTPHeaders()
        close = self.closing
        length = str(len(response.body))
        for name, value in response.headers:
            normal = name.title()
            if normal not in HOP_BY_HOP_FIELDS:
                headers.add(name, value)
            elif normal == "Connection" and value == "close":
                close = True
            elif normal == "Content-Length" and request.method == "HEAD" and not response.body:
                # The length that the response to a GET would have.
                length = value
        if response.status not in BODILESS_STATUSES:
            headers["Content-Length"] = length
        if close:
            headers["Connection"] = "close"
        return headers, close


class RequestCollector(HTTPMessageDelegate):
    """Collects one request until it is complete."""

    def __init__(self, listener: TornadoHttpListener, connection: HTTP1Connection) -> None:
        self.listener = listener
        self.connection = connection
        self.start: RequestStartLine | None = None
        self.headers = HTTPHeaders()
        # A list of parts would take many times the memory of a body that arrives in small chunks.
        self.body = bytearray()
        self.deadline = time.monotonic() + listener.head_timeout / 1000
        listener.collectors.add(self)

    def is_expired(self, now: float) -> bool:
        """Return whether the request took too long, or its connection closed."""
        return now > self.deadline or self.connection.stream.closed()

    def has_begun(self) -> bool:
        """Return whether a part of the request has arrived."""
        return self.start is not None or stream_of(self.connection).has_unread_data()

    def awaits_request(self) -> bool:
        """Return whether a request is arriving, or the connection has not had its first one yet."""
        return self.has_begun() or not stream_of(self.connection).had_request

    def close_idle(self) -> None:
        """Close a connection on which no request is arriving."""
        stream_of(self.connection).closed_while_idle = True
        self.connection.close()

    def refuse(self) -> None:
        """Respond that the request did not run, and close the connection."""
        if not self.connection.stream.closed():
            # Written to the stream, as the connection cannot respond before the head is complete.
            self.connection.stream.write(LEAVING_RESPONSE)
            self.connection.close()

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the head; HTTP/1.1 requires exactly one `Host` header."""
        assert isinstance(start_line, RequestStartLine)
        if start_line.version == "HTTP/1.1" and len(headers.get_list("Host")) != 1:
            raise HTTPInputError("exactly one Host header is required")
        self.start = start_line
        self.headers = headers
        fields = list(headers.get_all())
        self._count(sum(len(name) + len(value) + FIELD_BYTES for name, value in fields))
        self.deadline = time.monotonic() + self.listener.body_timeout / 1000

    def data_received(self, chunk: bytes) -> None:
        """Store one part of the body."""
        self.body += chunk
        self._count(len(chunk))

    def finish(self) -> None:
        """Pass the complete request to the listener."""
        self.listener.collectors.discard(self)
        assert self.start is not None
        path, fields = to_origin_form(self.start.path, end_to_end_fields(self.headers))
        request = Request(self.start.method, path, fields, bytes(self.body))
        self.listener.handle_request(self.connection, request)

    def _count(self, count: int) -> None:
        stream = stream_of(self.connection)
        stream.collected_bytes += count
        stream.count_held()

    def on_connection_close(self) -> None:
        """Discard a request whose connection closed."""
        self.listener.collectors.discard(self)


def _cancel(task: asyncio.Task[None]) -> None:
    task.cancel()
