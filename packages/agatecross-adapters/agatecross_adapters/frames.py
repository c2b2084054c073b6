"""Length-prefixed frames over TCP, for many concurrent messages on one connection."""

import asyncio
import socket
from collections.abc import Callable

from .half_close import half_close

LENGTH_PREFIX_BYTES = 4
# The largest body a caller may send is 64 MiB; heads and fields need little beside it.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# The kernel closes a connection whose bytes were not acknowledged for this long.
USER_TIMEOUT_MS = 5_000


class FrameConnection(asyncio.Protocol):
    """Splits what is read into frames."""

    transport: asyncio.Transport

    def __init__(
        self,
        on_open: "Callable[[FrameConnection], None]",
        on_frame: "Callable[[FrameConnection, bytes], None]",
        on_close: "Callable[[FrameConnection], None]",
    ) -> None:
        """Report events to the callbacks."""
        self.on_open = on_open
        self.on_frame = on_frame
        self.on_close = on_close
        self.buffer = bytearray()
        self.open = False
        self.half_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Report the connection."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.open = True
        self.on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        self.open = False
        self.on_close(self)

    def data_received(self, data: bytes) -> None:
        """Report each whole frame."""
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
        """Write one frame."""
        if self.open and not self.half_closed and not self.transport.is_closing():
            self.transport.write(len(frame).to_bytes(LENGTH_PREFIX_BYTES, "big") + frame)

    @property
    def unsent(self) -> int:
        """Return the bytes that were not yet given to the kernel."""
        return self.transport.get_write_buffer_size() if self.open else 0

    def close_gracefully(self) -> None:
        """Send what was written, then end; the other side closes when it has read everything."""
        if self.open and not self.half_closed and not self.transport.is_closing():
            self.half_closed = True
            half_close(self.transport)

    def abort(self) -> None:
        """Close at once."""
        self.transport.abort()
