"""Frames over TCP that take turns, so that one connection carries many concurrent messages.

A short frame is written whole. A long one is cut into pieces, which are written as the other end
reads, in turn with the pieces of the other long frames, so that short frames overtake long ones:

- whole frame: 2 bits `PrefixKind.WHOLE`, 30 bits length, the frame
- piece: 2 bits `PIECE` or `LAST_PIECE`, 30 bits length, 4 bytes number of the frame, the piece

Frames that build on each other, such as the changes of a configuration, are sent in order: the next
one is not written before the last piece of the one before.

The frame is complete with its last piece; one whose connection ends earlier is dropped.
"""

import asyncio
import contextlib
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

from agatecross_core.ids import Millis

from .half_close import half_close

PREFIX_BYTES = 4
LENGTH_BITS = 30
LENGTH_MASK = (1 << LENGTH_BITS) - 1
FRAME_NUMBER_BYTES = 4
FRAME_NUMBER_MASK = (1 << 8 * FRAME_NUMBER_BYTES) - 1
# A caller may send a body of up to 64 MiB; the head and the other fields add little to it.
MAX_FRAME_BYTES = 80 * 1024 * 1024
# On a link of 6 Mbit/s, a short frame waits 20 ms for a piece of this size.
PIECE_BYTES = 16 * 1024
# Bytes that may wait in the connection's buffers, before which no short frame can get.
MAX_BUFFERED_BYTES = 2 * PIECE_BYTES
# The kernel closes a connection if sent data stays unacknowledged for this long.
TCP_USER_TIMEOUT_MS = 5_000
# Limits the unsent bytes in the kernel's own buffer (linux/tcp.h).
TCP_NOTSENT_LOWAT = 25


class PrefixKind(IntEnum):
    """What follows a prefix."""

    WHOLE = 0
    PIECE = 1
    LAST_PIECE = 2


@dataclass(slots=True)
class OutgoingFrame:
    """A long frame of which the bytes from `position` on are not written yet."""

    number: int
    frame: memoryview
    position: int = 0


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
        self.write_blocked = False
        self.outgoing: deque[OutgoingFrame] = deque()
        self.next_number = 0
        # The number of the frame sent in order that is being written in pieces, and those after it.
        self.ordered_number: int | None = None
        self.ordered: deque[bytes] = deque()
        self.incoming: dict[int, bytearray] = {}
        self.incoming_bytes = 0
        self.received_at = Millis(time.monotonic() * 1000)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what waits unsent and unacknowledged, and report the connection as open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES, low=PIECE_BYTES)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
            # Where the option is missing, short frames wait for what the kernel has buffered.
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_BUFFERED_BYTES)
        self.open = True
        self.on_open(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drop incomplete frames and report the connection as closed."""
        self.open = False
        self.outgoing.clear()
        self.ordered.clear()
        self.incoming.clear()
        self.on_close(self)

    def pause_writing(self) -> None:
        """Keep the pieces of long frames until the other end has read."""
        self.write_blocked = True

    def resume_writing(self) -> None:
        """Write further pieces."""
        self.write_blocked = False
        self._write_pieces()

    def data_received(self, data: bytes) -> None:
        """Report each complete frame; a frame above the size limit closes the connection."""
        self.received_at = Millis(time.monotonic() * 1000)
        buffer = self.buffer
        buffer += data
        start = 0
        while len(buffer) - start >= PREFIX_BYTES:
            prefix = int.from_bytes(buffer[start : start + PREFIX_BYTES], "big")
            kind, length = prefix >> LENGTH_BITS, prefix & LENGTH_MASK
            if length > MAX_FRAME_BYTES or kind > PrefixKind.LAST_PIECE:
                self.transport.abort()
                return
            end = start + PREFIX_BYTES + length
            if len(buffer) < end:
                break
            content = bytes(buffer[start + PREFIX_BYTES : end])
            start = end
            if kind == PrefixKind.WHOLE:
                self.on_frame(self, content)
            elif not self._add_piece(content, kind == PrefixKind.LAST_PIECE):
                self.transport.abort()
                return
        del buffer[:start]

    def send(self, frame: bytes) -> None:
        """Send one frame, unless the connection is closed or closing.

        Frames of up to `PIECE_BYTES` arrive in the order in which they were sent; longer ones may
        arrive after frames that were sent later.
        """
        if self._may_send():
            self._start_frame(frame)
            self._write_pieces()

    def send_in_order(self, frame: bytes) -> None:
        """Send one frame after the frames of any length that were sent in order before."""
        if self._may_send():
            self.ordered.append(frame)
            self._start_ordered_frames()
            self._write_pieces()

    @property
    def unsent(self) -> int:
        """Return the number of bytes not yet handed to the kernel."""
        if not self.open:
            return 0
        waiting = sum(len(row.frame) - row.position for row in self.outgoing)
        waiting += sum(map(len, self.ordered))
        return waiting + self.transport.get_write_buffer_size()

    def close_gracefully(self) -> None:
        """Flush pending frames and half-close; the peer closes once it has read everything."""
        if self.open and not self.half_closed and not self.transport.is_closing():
            self.half_closed = True
            self._write_pieces()

    def abort(self) -> None:
        """Close at once, dropping unsent data."""
        self.transport.abort()

    def _may_send(self) -> bool:
        return self.open and not self.half_closed and not self.transport.is_closing()

    def _start_frame(self, frame: bytes) -> int | None:
        """Write a short frame, or queue the pieces of a long one and return its number."""
        if len(frame) <= PIECE_BYTES:
            self.transport.write(_prefix(PrefixKind.WHOLE, len(frame)) + frame)
            return None
        number = self.next_number
        self.next_number = (number + 1) & FRAME_NUMBER_MASK
        self.outgoing.append(OutgoingFrame(number, memoryview(frame)))
        return number

    def _start_ordered_frames(self) -> None:
        while self.ordered and self.ordered_number is None:
            self.ordered_number = self._start_frame(self.ordered.popleft())

    def _write_pieces(self) -> None:
        while self.outgoing and not self.write_blocked:
            row = self.outgoing.popleft()
            end = row.position + PIECE_BYTES
            piece = row.frame[row.position : end]
            is_last = end >= len(row.frame)
            kind = PrefixKind.LAST_PIECE if is_last else PrefixKind.PIECE
            head = _prefix(kind, FRAME_NUMBER_BYTES + len(piece))
            number = row.number.to_bytes(FRAME_NUMBER_BYTES, "big")
            if not is_last:
                row.position = end
                self.outgoing.append(row)
            self.transport.write(b"".join((head, number, piece)))
            if is_last and row.number == self.ordered_number:
                self.ordered_number = None
                self._start_ordered_frames()
        if self.half_closed and not self.outgoing and not self.transport.is_closing():
            half_close(self.transport)

    def _add_piece(self, content: bytes, is_last: bool) -> bool:
        """Add a piece to its frame; return False if it is malformed or too much is incomplete."""
        if len(content) <= FRAME_NUMBER_BYTES:
            return False
        number = int.from_bytes(content[:FRAME_NUMBER_BYTES], "big")
        frame = self.incoming.setdefault(number, bytearray())
        frame += content[FRAME_NUMBER_BYTES:]
        self.incoming_bytes += len(content) - FRAME_NUMBER_BYTES
        if self.incoming_bytes > MAX_FRAME_BYTES:
            return False
        if is_last:
            del self.incoming[number]
            self.incoming_bytes -= len(frame)
            self.on_frame(self, bytes(frame))
        return True


def _prefix(kind: PrefixKind, length: int) -> bytes:
    return (kind << LENGTH_BITS | length).to_bytes(PREFIX_BYTES, "big")
