"""TCP proxy for one loopback address that can delay, reset or block the bytes it forwards."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from agatecross_core.ids import Address

CHUNK_BYTES = 64 * 1024
POLL_INTERVAL_SECONDS = 0.02


class LinkMode(Enum):
    """Which directions are forwarded; bytes that are held back arrive when the mode ends.

    `ONE_WAY` blocks the direction towards the client, and `SILENT` blocks both.
    """

    OPEN = "open"
    ONE_WAY = "one-way"
    SILENT = "silent"


@dataclass(slots=True)
class ProxiedConnection:
    """One proxied connection; once silent, it never forwards again, not even its end."""

    client_writer: asyncio.StreamWriter
    server_writer: asyncio.StreamWriter
    silent: bool = False

    def abort(self) -> None:
        """Reset both sides."""
        self.client_writer.transport.abort()
        self.server_writer.transport.abort()


class FaultyLink:
    """Forwards connections to one address, with faults that can be switched on."""

    def __init__(self) -> None:
        self.target = Address("")
        self.mode = LinkMode.OPEN
        self.delay_seconds = 0.0
        self.connections: list[ProxiedConnection] = []
        self.accepted = 0
        self.server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Start the proxy and return the address that it listens on."""
        self.server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0, backlog=512
        )
        return Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")

    def reset(self) -> None:
        """Reset every connection that is not silent."""
        for connection in self.connections:
            if not connection.silent:
                connection.abort()

    def silence_connections(self) -> None:
        """Stop forwarding on every open connection permanently; new connections still work."""
        for connection in self.connections:
            connection.silent = True

    async def close(self) -> None:
        """Stop listening and reset every connection."""
        if self.server is not None:
            self.server.close()
        for connection in self.connections:
            connection.abort()
        # Gives the forwarding tasks time to notice the closed connections and end.
        await asyncio.sleep(2 * POLL_INTERVAL_SECONDS)

    async def _handle_connection(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            client_writer.transport.abort()
            return
        connection = ProxiedConnection(client_writer, server_writer)
        self.connections.append(connection)
        self.accepted += 1
        await asyncio.gather(
            self._forward(connection, client_reader, server_writer, (LinkMode.SILENT,)),
            self._forward(
                connection, server_reader, client_writer, (LinkMode.SILENT, LinkMode.ONE_WAY)
            ),
        )
        # One end of a silent connection may be open until the proxy is closed.
        if not connection.silent:
            self.connections.remove(connection)

    async def _forward(
        self,
        connection: ProxiedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        blocked: tuple[LinkMode, ...],
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                held = True
                while held and not writer.is_closing():
                    held = connection.silent or self.mode in blocked
                    await asyncio.sleep(POLL_INTERVAL_SECONDS if held else 0)
                writer.write(data)
                await writer.drain()
            if not connection.silent:
                writer.close()
        except OSError:
            # Passes a reset on one side on to the other side.
            if not connection.silent:
                writer.transport.abort()
