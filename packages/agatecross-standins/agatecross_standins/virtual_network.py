"""Event loop with virtual time, and TCP connections in memory that can go silent.

Seconds of a whole fleet pass in as long as their callbacks take, and a run repeats exactly.
"""

import asyncio
import selectors
import socket
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

# The kernel closes a connection if sent data stays unacknowledged for this long (frames.py).
USER_TIMEOUT_SECONDS = 5.0
START_SECONDS = 1_000.0


class VirtualSelector(selectors.BaseSelector):
    """Selects nothing; a wait moves the clock on instead."""

    def __init__(self, advance: Callable[[float], None]) -> None:
        self.advance = advance
        self.keys: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Keep a file, which is never ready."""
        descriptor = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        self.keys[fileobj] = selectors.SelectorKey(fileobj, descriptor, events, data)
        return self.keys[fileobj]

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Drop a file."""
        return self.keys.pop(fileobj)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Let the time pass for which the loop would wait."""
        if timeout is None:
            raise RuntimeError("every task waits, and nothing is scheduled")
        self.advance(max(0.0, timeout))
        return []

    def get_map(self) -> Mapping[Any, selectors.SelectorKey]:
        """Return the registered files."""
        return self.keys


class VirtualTransport(asyncio.Transport):
    """One end of a connection in memory."""

    def __init__(self, loop: "VirtualLoop", protocol: asyncio.Protocol) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.other: VirtualTransport
        self.silent = False
        self.closing = False
        self.free_at = 0.0
        self.buffered = 0
        self.high, self.low = 64 * 1024, 16 * 1024
        self.paused = False
        self.in_flight: deque[bytes] = deque()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data; it arrives after its transfer time and the delay of the network."""
        if self.closing:
            return
        network = self.loop.network
        self.free_at = max(self.loop.time(), self.free_at) + len(data) / network.bytes_per_second
        self.buffered += len(data)
        self.loop.call_at(self.free_at, self._sent, len(data))
        if self.buffered > self.high and not self.paused:
            self.paused = True
            self.protocol.pause_writing()
        if self.silent:
            self.loop.call_later(USER_TIMEOUT_SECONDS, self.abort)
            return
        self.in_flight.append(bytes(data))
        self.loop.call_at(self.free_at + network.delay_seconds, self._deliver)

    def abort(self) -> None:
        """Close at once; the other end notices unless the connection is silent."""
        if self.closing:
            return
        self.closing = True
        self.in_flight.clear()
        self.loop.call_soon(self.protocol.connection_lost, None)
        if not self.silent:
            self.loop.call_later(self.loop.network.delay_seconds, self.other.abort)

    def close(self) -> None:
        """Close at once, as nothing here depends on the rest of the buffer."""
        self.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed."""
        return self.closing

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are not sent yet."""
        return self.buffered

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the limits at which writing pauses and resumes."""
        self.high, self.low = high or self.high, low or 0

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the default: there is no socket."""
        return default

    def _sent(self, size: int) -> None:
        self.buffered -= size
        if self.paused and self.buffered <= self.low:
            self.paused = False
            if not self.closing:
                self.protocol.resume_writing()

    def _deliver(self) -> None:
        if not self.in_flight:
            return
        data = self.in_flight.popleft()
        if not self.silent and not self.other.closing:
            self.other.protocol.data_received(data)


class VirtualNetwork:
    """Connects addresses; each connection has the same delay and rate."""

    def __init__(self, delay_seconds: float, bytes_per_second: float) -> None:
        self.delay_seconds = delay_seconds
        self.bytes_per_second = bytes_per_second
        self.servers: dict[tuple[str, int], Callable[[], asyncio.Protocol]] = {}
        self.transports: list[VirtualTransport] = []
        self.connections = 0

    def silence(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        for transport in self.transports:
            transport.silent = True
        self.transports.clear()


class VirtualServer:
    """A listening address."""

    # There is no listening socket in the kernel.
    sockets: tuple[socket.socket, ...] = ()

    def __init__(self, network: VirtualNetwork, address: tuple[str, int]) -> None:
        self.network = network
        self.address = address

    def close(self) -> None:
        """Stop listening."""
        self.network.servers.pop(self.address, None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock moves only when every callback has run."""

    def __init__(self, network: VirtualNetwork) -> None:
        self.network = network
        self.seconds = START_SECONDS
        super().__init__(VirtualSelector(self._advance))

    def _advance(self, seconds: float) -> None:
        self.seconds += seconds

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.seconds

    async def create_server(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **options: Any
    ) -> VirtualServer:
        """Listen on an address of the network."""
        del options
        self.network.servers[host, port] = factory
        return VirtualServer(self.network, (host, port))

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], asyncio.Protocol], host: str, port: int, **options: Any
    ) -> tuple[VirtualTransport, asyncio.Protocol]:
        """Connect to an address of the network."""
        del options
        await asyncio.sleep(2 * self.network.delay_seconds)
        server_factory = self.network.servers.get((host, port))
        if server_factory is None:
            raise ConnectionRefusedError(f"{host}:{port}")
        client, server = (VirtualTransport(self, make()) for make in (factory, server_factory))
        client.other, server.other = server, client
        self.network.transports += (client, server)
        self.network.connections += 1
        for transport in (server, client):
            transport.protocol.connection_made(transport)
        return client, client.protocol
