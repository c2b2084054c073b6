"""Length-prefixed frames over TCP, so that one connection carries many concurrent messages."""

import asyncio
import socket
from collections.abc import Callable

from .half_close import half_close

LENGTH_PREFIX_BYTES = 4
# A caller may send a body of up to 64 MiB; the head and the other fields add little to it.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# The kernel closes a connection if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 5_000


class FrameConnection(asyncio.Protocol):
    """Connection that sends frames and splits received data into frames."""

    transport: asyncio.Transport

    def __init__(
        self,
        on_open: "Callable[[FrameConnection], None]",
        on_frame: "Callable[[FrameConnection, bytes], None]",
        on_close: "Callable[[FrameConnection], None]",
    ) -> None:
        """Report the connection's events to the callbacks."""
        self.on_open = on_open
        self.on_frame = on_frame
        self.on_close = on_close
        self.buffer = bytearray()
        self.open = False
        self.half_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound the time without acknowledgement and report the connection as open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
        self.open = True
        self.on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the connection as closed."""
        self.open = False
        self.on_close(self)

    def data_received(self, data: bytes) -> None:
        """Report each complete frame; a frame above the size limit closes the connection."""
        buffer = self.buffer
        buffer += data
        start = 0
        while len(buffer) - start >= LENGTH_PREFIX_BYTES:
            length = int.from_bytes(buffer[start : start + LENGTH_PREFIX_BYTES], "big")
            if length > MAX_FRAME_BYTES:
                self.transport.abort()
                return
            end = start + LENGTH_PREFIX_BYTES + length
            if len(buffer) < end:
                break
            frame = bytes(buffer[start + LENGTH_PREFIX_BYTES : end])
            start = end
            self.on_frame(self, frame)
        del buffer[:start]

    def send(self, frame: bytes) -> None:
        """Write one frame, unless the connection is closed or closing."""
        if self.open and not self.half_closed and not self.transport.is_closing():
            self.transport.write(len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame)

    @property
    def unsent(self) -> int:
        """Return the number of bytes not yet handed to the kernel."""
        return self.transport.get_write_buffer_size() if self.open else 0

    def close_gracefully(self) -> None:
        """Flush pending data and half-close; the peer closes once it has read everything."""
        if self.open and not self.half_closed and not self.transport.is_closing():
            self.half_closed = True
            half_close(self.transport)

    def abort(self) -> None:
        """Close at once, dropping unsent data."""
        self.transport.abort()
