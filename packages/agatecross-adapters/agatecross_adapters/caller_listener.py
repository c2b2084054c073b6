"""HTTP/1.1 server for callers.

`tornado` reads the next request of a connection only after it has answered the last one, so this
listener runs httptools' parser on the event loop that tornado uses.
"""

import asyncio
import os
import socket
import time
from collections.abc import Iterator
from dataclasses import dataclass

from agatecross_core.admission.connection_budget import Place
from agatecross_core.ids import ZERO_MS, Address, Millis
from agatecross_core.routing.host_table import CallerLimits

from .accepting import ACCEPT_BATCH, PLACES_PER_BATCH, listen_in_batches
from .caller_connection import CallerConnection
from .caller_exchange import ClosedBy, ExchangeHandler
from .connection_guard import ConnectionGuard, new_guard
from .reading_turns import ReadingTurns
from .request_reader import ParseState

SWEEP_INTERVAL_SECONDS = 0.25
ACCEPT_BACKLOG = 1024
CLOSE_POLL_SECONDS = 0.01
# Apply until a configuration is in force.
DEFAULT_LIMITS = CallerLimits(16_384, 1_048_576, Millis(5_000), Millis(15_000))


@dataclass(frozen=True, slots=True)
class UnfinishedWork:
    """Work that is still pending on the callers' connections.

    `waiting` counts requests without a response, `reading` requests that have arrived only in
    part, and `unread` connections with data that was not read; `unsent` is the number of bytes of
    responses not yet handed to the kernel.
    """

    waiting: int
    reading: int
    unread: int
    unsent: int


class CallerListener:
    """Accepts callers' connections on one address."""

    def __init__(self, handler: ExchangeHandler, guard: ConnectionGuard | None = None) -> None:
        """Pass each complete request to `handler`; `guard` bounds the connections."""
        self.handler = handler
        self.guard = guard or new_guard()
        self.turns = ReadingTurns()
        self.limits = DEFAULT_LIMITS
        self.connections: set[CallerConnection] = set()
        self.server: asyncio.Server | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.closing = False

    async def listen(self, address: Address) -> Address:
        """Start serving and return the bound address; port 0 lets the kernel choose a port."""
        host = address.rpartition(":")[0]
        self.server = await listen_in_batches(
            lambda: CallerConnection(self), address, ACCEPT_BACKLOG, self._accept_batch()
        )
        self._sweep()
        return Address(f"{host}:{self.server.sockets[0].getsockname()[1]}")

    def _accept_batch(self) -> int:
        return max(ACCEPT_BATCH, self.guard.budget.places[Place.CALLERS] // PLACES_PER_BATCH)

    def close_after_responses(self) -> None:
        """Close each connection after its next response that no further request waits behind."""
        self.closing = True

    async def stop_accepting(self) -> None:
        """Accept the connections in the kernel's accept queue, then stop listening.

        `asyncio.Server.close` loses connections accepted in the same iteration of the event loop,
        and the kernel resets those that were not accepted.
        """
        if self.server is None:
            return
        loop = asyncio.get_running_loop()
        for listening_socket in self.server.sockets:
            loop.remove_reader(listening_socket.fileno())
        await asyncio.sleep(0)
        accepted: list[socket.socket] = []
        for listening_socket in self.server.sockets:
            accepted += _accept_all(listening_socket.fileno())
        self.server.close()
        for sock in accepted:
            await loop.connect_accepted_socket(lambda: CallerConnection(self), sock)

    async def finish(self, limit: Millis) -> None:
        """Close every connection once its written responses are flushed; wait for at most `limit`.

        The handlers of requests that still wait for a response are notified first, and may respond.
        """
        self.closing = True
        for connection in list(self.connections):
            connection.notify_handlers_of_close()
            connection.close_gracefully()
        deadline = time.monotonic() + limit / 1000
        while self.connections and time.monotonic() < deadline:
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
        """Return the number of requests that wait for a response."""
        return sum(len(connection.exchanges) for connection in self.connections)

    @property
    def latest_deadline(self) -> Millis:
        """Return the latest deadline among the requests that wait for a response."""
        deadlines = (
            exchange.deadline
            for connection in self.connections
            for exchange in connection.exchanges
        )
        return max(deadlines, default=ZERO_MS)

    @property
    def unsent(self) -> int:
        """Return the number of bytes of responses not yet handed to the kernel."""
        return sum(connection.transport.get_write_buffer_size() for connection in self.connections)

    def unfinished_work(self) -> UnfinishedWork:
        """Return the work that closing now would cut off or drop."""
        connections = self.connections
        return UnfinishedWork(
            self.pending,
            sum(connection.reader.state is not ParseState.IDLE for connection in connections),
            sum(connection.has_unread_data() for connection in connections),
            self.unsent,
        )

    def _sweep(self) -> None:
        now = time.monotonic() * 1000
        for connection in list(self.connections):
            connection.check_timeouts(now)
        self.sweep_timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_SECONDS, self._sweep
        )


def _accept_all(listening_fd: int) -> Iterator[socket.socket]:
    """Yield the connections in the accept queue of a listening socket, given its descriptor."""
    try:
        with socket.socket(fileno=os.dup(listening_fd)) as queue:
            while True:
                sock, _ = queue.accept()
                sock.setblocking(False)
                yield sock
    except OSError:
        # The queue is empty, its connection is already gone, or no file descriptor is free.
        return
