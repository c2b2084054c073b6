"""Connections that other daemons dial, counted together with the connections of clients."""

import asyncio
from collections.abc import Callable

from agatecross_core.admission.connection_budget import (
    ConnectionPhase,
    HeldConnection,
    Place,
    ShedReason,
)

from .connection_guard import ConnectionGuard
from .frames import FrameConnection

# Links carry long frames; a daemon that has greeted counts as reading only beyond this.
SPARED_BYTES = 2 * 1024 * 1024


class InboundFrameConnection(FrameConnection):
    """A connection that is closed first if it has not greeted, or holds most of what is unread."""

    def __init__(
        self,
        on_open: Callable[[FrameConnection], None],
        on_frame: Callable[[FrameConnection, bytes], None],
        on_close: Callable[[FrameConnection], None],
        guard: ConnectionGuard,
    ) -> None:
        super().__init__(on_open, on_frame, on_close)
        self.guard = guard
        self.greeted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Count the connection and report it as open."""
        super().connection_made(transport)
        peer_name = transport.get_extra_info("peername")
        self.held: HeldConnection = self.guard.add(self, Place.PEERS, peer_name)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop counting the connection and report it as closed."""
        self.guard.remove(self.held)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Report each complete frame, and count what is left."""
        super().data_received(data)
        if self.transport.is_closing():
            return
        held = len(self.buffer) + self.incoming_bytes
        self.guard.update(self.held, held, self._phase(held))

    def shed(self, reason: ShedReason) -> bool:
        """Close the connection; its handovers may be resumed on another one."""
        del reason
        self.transport.abort()
        return True

    def _phase(self, held: int) -> ConnectionPhase:
        if self.greeted and held <= SPARED_BYTES:
            return ConnectionPhase.SERVING
        return ConnectionPhase.READING if held else ConnectionPhase.SILENT
