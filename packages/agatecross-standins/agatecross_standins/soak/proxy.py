"""A loopback proxy in front of one address that delays, resets, cuts one way or goes silent."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from agatecross_core.ids import Address

CHUNK_BYTES = 64 * 1024
POLL_INTERVAL_SECONDS = 0.02


class LinkMode(Enum):
    """How bytes are carried; those that are held up arrive when the mode ends."""

    OPEN = "open"
    ONE_WAY = "one-way"
    SILENT = "silent"


@dataclass(slots=True)
class ProxiedConnection:
    """One proxied connection; a silent one stays silent for good."""

    client_writer: asyncio.StreamWriter
    server_writer: asyncio.StreamWriter
    silent: bool = False


class FaultyLink:
    """Forwards connections to one address."""

    def __init__(self) -> None:
        self.target = Address("")
        self.mode = LinkMode.OPEN
        self.delay = 0.0
        self.connections: list[ProxiedConnection] = []
        self.server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Start to forward and return the address."""
        self.server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", 0, backlog=512
        )
        return Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")

    def reset(self) -> None:
        """Reset every connection."""
        for connection in self.connections:
            connection.client_writer.transport.abort()
            connection.server_writer.transport.abort()

    def silence_connections(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        for connection in self.connections:
            connection.silent = True

    async def close(self) -> None:
        """Stop."""
        if self.server is not None:
            self.server.close()
        self.reset()
        # The pumps see that their connections are gone, and end.
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
        await asyncio.gather(
            self._forward(connection, client_reader, server_writer, (LinkMode.SILENT,)),
            self._forward(
                connection, server_reader, client_writer, (LinkMode.SILENT, LinkMode.ONE_WAY)
            ),
        )
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
                if self.delay:
                    await asyncio.sleep(self.delay)
                held = True
                while held and not writer.is_closing():
                    held = connection.silent or self.mode in blocked
                    await asyncio.sleep(POLL_INTERVAL_SECONDS if held else 0)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # A reset on one side is a reset on the other.
            writer.transport.abort()
