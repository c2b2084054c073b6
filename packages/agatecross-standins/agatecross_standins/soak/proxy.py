"""A loopback proxy in front of one address that delays, resets, cuts one way or goes silent."""

import asyncio
from dataclasses import dataclass
from enum import Enum

from agatecross_core.ids import Address

CHUNK_BYTES = 64 * 1024
POLL_SECONDS = 0.02


class LinkMode(Enum):
    """How bytes are carried; those that are held up arrive when the mode ends."""

    OPEN = "open"
    ONE_WAY = "one-way"
    SILENT = "silent"


@dataclass(slots=True)
class Pair:
    """One proxied connection; a silent one stays silent for good."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    silent: bool = False


class FaultyLink:
    """Forwards connections to one address."""

    def __init__(self) -> None:
        self.target = Address("")
        self.mode = LinkMode.OPEN
        self.delay = 0.0
        self.pairs: list[Pair] = []
        self.server: asyncio.Server | None = None

    async def listen(self) -> Address:
        """Start to forward and return the address."""
        self.server = await asyncio.start_server(self._accepted, "127.0.0.1", 0, backlog=512)
        return Address(f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}")

    def reset(self) -> None:
        """Reset every connection."""
        for pair in self.pairs:
            pair.near.transport.abort()
            pair.far.transport.abort()

    def silence(self) -> None:
        """Let every open connection go silent for good; new ones work."""
        for pair in self.pairs:
            pair.silent = True

    async def close(self) -> None:
        """Stop."""
        if self.server is not None:
            self.server.close()
        self.reset()
        # The pumps see that their connections are gone, and end.
        await asyncio.sleep(2 * POLL_SECONDS)

    async def _accepted(self, reader: asyncio.StreamReader, near: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        try:
            there, far = await asyncio.open_connection(host, int(port))
        except OSError:
            near.transport.abort()
            return
        pair = Pair(near, far)
        self.pairs.append(pair)
        await asyncio.gather(
            self._pump(pair, reader, far, (LinkMode.SILENT,)),
            self._pump(pair, there, near, (LinkMode.SILENT, LinkMode.ONE_WAY)),
        )
        self.pairs.remove(pair)

    async def _pump(
        self,
        pair: Pair,
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
                    held = pair.silent or self.mode in blocked
                    await asyncio.sleep(POLL_SECONDS if held else 0)
                writer.write(data)
                await writer.drain()
            writer.close()
        except OSError:
            # A reset on one side is a reset on the other.
            writer.transport.abort()
