"""HTTP/1.1 server for callers.

`tornado` reads the next request of a connection only after it answered the last one, so this
listener runs httptools' parser on the event loop that tornado uses.
"""

import asyncio
import os
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

from agatecross_core.ids import ZERO_MS, Address, Millis
from agatecross_core.routing.host_table import CallerLimits

from .caller_connection import CallerConnection, ClosedBy, ExchangeHandler, ParseState

SWEEP_INTERVAL_SECONDS = 0.25
ACCEPT_BACKLOG = 1024
CLOSE_POLL_SECONDS = 0.01
# Before a configuration is in force.
DEFAULT_LIMITS = CallerLimits(16_384, 1_048_576, Millis(5_000), Millis(15_000))


@dataclass(frozen=True, slots=True)
class UnfinishedWork:
    """What the callers' connections still hold.

    `waiting` counts requests without an answer, `reading` requests that are not whole, `unread`
    connections with bytes that were not read; `unsent` is bytes of answers not yet given to the
    kernel.
    """

    waiting: int
    reading: int
    unread: int
    unsent: int


class CallerListener:
    """Accepts callers' connections on one address."""

    def __init__(self, handler: ExchangeHandler) -> None:
        """Pass each whole request to `handler`."""
        self.handler = handler
        self.limits = DEFAULT_LIMITS
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.closing = False

    async def listen(self, address: Address) -> Address:
        """Start to serve and return the bound address; port 0 lets the kernel choose."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        self.server = await loop.create_server(
            lambda: CallerConnection(self), host, int(port), backlog=ACCEPT_BACKLOG
        )
        self._sweep()
        return Address(f"{host}:{self.server.sockets[0].getsockname()[1]}")

    def close_after_responses(self) -> None:
        """End each connection with its next answer that no request waits behind."""
        self.closing = True

    async def stop_accepting(self) -> None:
        """Accept the connections that the kernel holds, and listen no more.

        `asyncio.Server.close` loses connections that it accepted in the same turn of the loop, and
        the kernel resets those that nobody accepted.
        """
        if self.server is None:
            return
        loop = asyncio.get_running_loop()
        for listening in self.server.sockets:
            loop.remove_reader(listening.fileno())
        await asyncio.sleep(0)
        accepted: list[socket.socket] = []
        for listening in self.server.sockets:
            accepted += _accept_all(listening.fileno())
        self.server.close()
        for sock in accepted:
            await loop.connect_accepted_socket(lambda: CallerConnection(self), sock)

    async def finish(self, limit: Millis) -> None:
        """End every connection so that its caller gets all answers; wait `limit` at most.

        Whoever handles a request that still waits is told first, and may answer it.
        """
        self.closing = True
        for connection in list(self.connections):
            connection.abandon_exchanges()
            connection.close_gracefully()
        last = time.monotonic() + limit / 1000
        while self.connections and time.monotonic() < last:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        self.close()

    def close(self) -> None:
        """Stop accepting and close every connection."""
        if self.server is not None:
            self.server.close()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
        for connection in list(self.connections):
            connection.closed_by = ClosedBy.DAEMON
            connection.transport.close()

    @property
    def pending(self) -> int:
        """Return the number of requests that wait for an answer."""
        return sum(len(row.exchanges) for row in self.connections)

    @property
    def latest_deadline(self) -> Millis:
        """Return when the last request that waits for an answer is over."""
        deadlines = (exchange.deadline for row in self.connections for exchange in row.exchanges)
        return max(deadlines, default=ZERO_MS)

    @property
    def unsent(self) -> int:
        """Return the bytes of answers not yet given to the kernel."""
        return sum(row.transport.get_write_buffer_size() for row in self.connections)

    def unfinished(self) -> UnfinishedWork:
        """Return what a close would cut or drop now."""
        rows = self.connections
        return UnfinishedWork(
            self.pending,
            sum(row.state is not ParseState.IDLE for row in rows),
            sum(row.has_unread() for row in rows),
            self.unsent,
        )

    def _sweep(self) -> None:
        now = time.monotonic() * 1000
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_SECONDS, self._sweep
        )


def _accept_all(listening: int) -> Iterator[socket.socket]:
    """Yield the connections that wait at a listening socket, given by its descriptor."""
    try:
        with socket.socket(fileno=os.dup(listening)) as queue:
            while True:
                sock, _ = queue.accept()
                sock.setblocking(False)
                yield sock
    except OSError:
        # Nothing waits, the connection that did is gone already, or no descriptor is free.
        return
