"""Server connections on tornado's streams, closed so that the last response is delivered."""

import asyncio
import fcntl
import socket
import termios
from collections.abc import Callable, Iterable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from agatecross_core.admission.connection_budget import ConnectionPhase, Place, ShedReason
from agatecross_core.ids import Millis

from .accepting import ACCEPT_BATCH
from .connection_guard import ConnectionGuard

DISCARD_CHUNK_BYTES = 65_536


class LingeringClose:
    """Closes sockets so that the last response is delivered.

    A socket that is closed with unread data, or that receives data afterwards, sends a reset, and
    its peer may lose what it has not read yet. So only the sending side is shut down at first, and
    the socket is closed once the peer has closed or `timeout` has passed.
    """

    def __init__(self, timeout: Millis) -> None:
        self.timeout = timeout
        self.tasks: set[asyncio.Task[None]] = set()

    def close(self, sock: socket.socket) -> None:
        """Shut down the sending side, and close the socket once its peer has closed."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:
            # The peer reset or closed the connection first.
            sock.close()
            return
        task = asyncio.ensure_future(self._discard_until_closed(sock))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def wait_closed(self) -> None:
        """Wait until every socket is closed."""
        while self.tasks:
            await asyncio.wait(self.tasks)

    async def _discard_until_closed(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with sock:
            try:
                async with asyncio.timeout(self.timeout / 1000):
                    while await loop.sock_recv(sock, DISCARD_CHUNK_BYTES):
                        pass
            except (OSError, TimeoutError):
                # The peer reset the connection or keeps it open; it does not wait for the response.
                return


class ServerStream(IOStream):
    """Connection of a client to this server."""

    # Set once a response has announced that the connection closes after it.
    close_announced = False
    # Set when the connection is closed between requests.
    closed_while_idle = False
    # Set once a request has arrived; a client that has just connected is about to send one.
    had_request = False
    # Set while a whole request is answered.
    serving = False

    def __init__(
        self,
        sock: socket.socket,
        close_socket: Callable[[socket.socket], None],
        notify_closed: Callable[["ServerStream"], None],
        guard: ConnectionGuard,
        place: Place,
    ) -> None:
        super().__init__(sock)
        self.close_socket = close_socket
        self.notify_closed = notify_closed
        self.guard = guard
        # Bytes of the request that is being read, taken from the stream already.
        self.collected_bytes = 0
        self.held = guard.add(self, place, _peer_name(sock))

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read data and count it, which may close this connection."""
        count = super().read_from_fd(buf)
        if count:
            self.count_held(count)
        return count

    def count_held(self, more: int = 0) -> None:
        """Count what this connection holds; `more` bytes are about to be buffered."""
        # Tornado drops the buffer of a closed stream.
        unsent = len(self._write_buffer or b"")
        held = self.collected_bytes + self._read_buffer_size + more + unsent
        self.guard.update(self.held, held, self._phase(more))

    def shed(self, reason: ShedReason) -> bool:
        """Close the connection; its incomplete request does not run."""
        del reason
        self.closed_while_idle = True
        # Not within a read of this stream.
        asyncio.get_running_loop().call_soon(self.close)
        return True

    def _phase(self, more: int) -> ConnectionPhase:
        if self.serving:
            return ConnectionPhase.SERVING
        if self.writing():
            return ConnectionPhase.UNREAD
        if more or self.collected_bytes or self._read_buffer_size:
            return ConnectionPhase.READING
        return ConnectionPhase.IDLE if self.had_request else ConnectionPhase.SILENT

    def close_fd(self) -> None:
        """Hand over the socket to be closed; called once, when the stream closes."""
        sock, self.socket = self.socket, None  # type: ignore[assignment]
        self.guard.remove(self.held)
        if self.closed_while_idle and all_acknowledged(sock):
            sock.close()
        else:
            self.close_socket(sock)
        self.notify_closed(self)

    def has_unread_data(self) -> bool:
        """Return whether data has arrived that does not belong to a complete request."""
        if self.closed():
            return False
        if self._read_buffer_size:
            return True
        try:
            return self.socket.recv(1, socket.MSG_PEEK) != b""
        except OSError:
            return False


def _peer_name(sock: socket.socket) -> object:
    try:
        return sock.getpeername()
    except OSError:
        # The peer has reset the connection.
        return None


def all_acknowledged(sock: socket.socket) -> bool:
    """Return whether the peer has acknowledged all sent data."""
    return not any(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4)))


def stream_of(connection: HTTP1Connection) -> ServerStream:
    """Return the stream of a connection that a `StreamServer` serves."""
    assert isinstance(connection.stream, ServerStream)
    return connection.stream


class StreamServer(HTTPServer):
    """Serves each connection through a `ServerStream`."""

    open_stream: Callable[[socket.socket], ServerStream]
    listening: tuple[socket.socket, ...] = ()

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Accept a few connections in each turn of the loop.

        Tornado accepts up to 128, before the connections that are closed for them have ended.
        """
        self.listening = tuple(sockets)
        for listening in self.listening:
            asyncio.get_running_loop().add_reader(listening, self._accept_batch, listening)

    def stop(self) -> None:
        """Stop accepting."""
        listening, self.listening = self.listening, ()
        for sock in listening:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()

    def _accept_batch(self, listening: socket.socket) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                sock, address = listening.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            self.handle_stream(IOStream(sock), address)

    def handle_stream(self, stream: IOStream, address: tuple[object, ...]) -> None:
        """Start serving a connection."""
        super().handle_stream(self.open_stream(stream.socket), address)
