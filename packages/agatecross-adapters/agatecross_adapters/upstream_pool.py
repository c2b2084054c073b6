"""Pool of HTTP/1.1 connections to the local upstream."""

import asyncio
import time
from collections.abc import Callable, Coroutine
from enum import Enum
from typing import Any

from agatecross_core.admission.new_connections import NewConnections
from agatecross_core.ids import Address, Millis
from agatecross_core.relay.model import Handover
from agatecross_core.relay.response_size import MAX_UNFINISHED_RESPONSE_BYTES, ResponseSize

from .header_names import HeaderNames
from .http1_bytes import encode_request
from .upstream_connection import (
    RunningRequest,
    UpstreamCallback,
    UpstreamConnection,
    UpstreamFailure,
)

CONNECT_TIMEOUT_SECONDS = 1.0
MAX_IDLE_CONNECTIONS = 64


class ConnectFailure(Enum):
    """Why a connection attempt failed: nothing listens, or another error or a timeout."""

    REFUSED = "refused"
    SILENT = "silent"


class UpstreamPool:
    """Keeps connections to one address; each carries one request at a time."""

    def __init__(
        self,
        address: Address,
        names: HeaderNames,
        on_unreachable: Callable[[ConnectFailure], None],
        on_reset: Callable[[], None],
    ) -> None:
        """Call `on_unreachable` when a connection attempt fails.

        `on_reset` is called when the upstream has ended a connection, idle or not.
        """
        self.address = address
        self.names = names
        self.on_unreachable = on_unreachable
        self.on_reset = on_reset
        self.idle: list[UpstreamConnection] = []
        self.connections: set[UpstreamConnection] = set()
        self.dial_tasks: set[asyncio.Task[None]] = set()
        self.new_connections = NewConnections()
        # Bytes read of incomplete responses, over all connections.
        self.unfinished_bytes = 0

    def send(
        self, handover: Handover, time_left: Millis, on_done: UpstreamCallback
    ) -> "UpstreamExchange":
        """Send the request on the most recently used idle connection, or on a new one."""
        exchange = UpstreamExchange(self, handover, time_left, on_done)
        now = time.monotonic() * 1000
        while self.idle:
            connection = self.idle.pop()
            if connection.is_usable(now):
                exchange.start(connection)
                return exchange
            connection.close()
        self._start_dial(self._dial_for(exchange))
        return exchange

    def open_spare_connection(self) -> None:
        """Open a spare connection, to learn whether the upstream still listens."""
        self._start_dial(self._dial_spare())

    def release(self, connection: "UpstreamConnection") -> None:
        """Return an idle connection to the pool, or close it if the pool is full."""
        if len(self.idle) < MAX_IDLE_CONNECTIONS:
            self.idle.append(connection)
        else:
            connection.close()

    def close_idle_since_before(self, time: Millis) -> int:
        """Close the connections that have been idle since before `time`; return their number."""
        old = [connection for connection in self.idle if connection.idle_since < time]
        for connection in old:
            self.idle.remove(connection)
            connection.close()
        return len(old)

    def add_unfinished_bytes(self, count: int) -> None:
        """Count bytes read of incomplete responses; over the limit, the largest response fails."""
        self.unfinished_bytes += count
        if self.unfinished_bytes > MAX_UNFINISHED_RESPONSE_BYTES:
            max(self.connections, key=UpstreamConnection.bytes_read).fail(UpstreamFailure.TOO_LARGE)

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self.connections):
            connection.close()
        self.idle.clear()

    def _start_dial(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.dial_tasks.add(task)
        task.add_done_callback(self.dial_tasks.discard)

    async def _dial_for(self, exchange: "UpstreamExchange") -> None:
        connection = await self._open_connection()
        if isinstance(connection, UpstreamFailure):
            exchange.fail(connection)
        elif exchange.cancelled:
            self._release_unused(connection)
            exchange.fail(UpstreamFailure.NOT_CONNECTED)
        else:
            exchange.start(connection)

    async def _dial_spare(self) -> None:
        connection = await self._open_connection()
        if isinstance(connection, UpstreamConnection):
            self._release_unused(connection)

    def _release_unused(self, connection: "UpstreamConnection") -> None:
        connection.idle_since = Millis(time.monotonic() * 1000)
        self.release(connection)

    async def _open_connection(self) -> "UpstreamConnection | UpstreamFailure":
        """Open a connection; leave it unused for a while if the upstream resets new ones."""
        connection = await self._dial()
        if isinstance(connection, UpstreamFailure):
            return connection
        settle_time = self.new_connections.settle_time(Millis(time.monotonic() * 1000))
        if settle_time:
            await asyncio.sleep(settle_time / 1000)
        return UpstreamFailure.RESET_UNUSED if connection.transport.is_closing() else connection

    async def _dial(self) -> "UpstreamConnection | UpstreamFailure":
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self), host, int(port)
                )
        except ConnectionRefusedError:
            self.on_unreachable(ConnectFailure.REFUSED)
            return UpstreamFailure.NOT_CONNECTED
        except ConnectionResetError:
            # It listens, but has no room for a connection.
            self.new_connections.record_reset(Millis(time.monotonic() * 1000))
            return UpstreamFailure.RESET_UNUSED
        except (OSError, TimeoutError):
            self.on_unreachable(ConnectFailure.SILENT)
            return UpstreamFailure.NOT_CONNECTED
        return connection


class UpstreamExchange:
    """One request to the upstream and its response."""

    def __init__(
        self, pool: UpstreamPool, handover: Handover, time_left: Millis, on_done: UpstreamCallback
    ) -> None:
        self.pool = pool
        self.handover = handover
        self.time_left = time_left
        self.on_done = on_done
        self.connection: UpstreamConnection | None = None
        self.size: ResponseSize | None = None
        self.cancelled = False

    def start(self, connection: "UpstreamConnection") -> None:
        """Write the request to a connection."""
        self.connection = connection
        request = self.handover.request
        running = RunningRequest(
            self.handover.call_id.encode("latin-1"), request.method, self.on_done
        )
        self.size = running.size
        connection.send_request(
            running, encode_request(self.handover, self.time_left, self.pool.names)
        )

    def cancel(self) -> None:
        """Close the connection, which makes the upstream drop the request."""
        self.cancelled = True
        if self.connection is not None:
            self.connection.close()

    def mark_late(self) -> None:
        """Let the upstream finish, but bound the time for the response.

        A request that has not been written yet is not sent any more.
        """
        if self.connection is None:
            self.cancelled = True
        else:
            self.connection.mark_late()

    def close_older_connections(self) -> int:
        """Close the idle connections on which nothing was heard since the request was sent.

        Open connections may all go silent together, without a reset. Returns their number.
        """
        if self.connection is None:
            return 0
        return self.pool.close_idle_since_before(self.connection.sent_at)

    @property
    def bytes_read(self) -> int:
        """Return the number of bytes that the upstream has sent in response."""
        return self.size.read if self.size is not None else 0

    def fail(self, failure: UpstreamFailure) -> None:
        """Report that the request was not written."""
        self.on_done(failure)
