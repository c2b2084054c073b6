"""Finds out whether a process has ended, by whether its machine refuses connections to its port."""

import asyncio
from typing import Protocol

from agatecross_core.ids import Address, Millis


class EndCheck(Protocol):
    """Tells whether the process that listened at an address has certainly ended."""

    async def has_ended(self, address: Address, timeout: Millis) -> bool:
        """Return True only if it is certain."""
        ...


class TcpEndCheck:
    """Connects to the port: a machine refuses only if no process listens there.

    A silent machine, a paused process and a cut link give no answer, and say nothing.
    """

    async def has_ended(self, address: Address, timeout: Millis) -> bool:
        """Return whether the connection is refused."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout / 1000):
                _, writer = await asyncio.open_connection(host.strip("[]"), int(port))
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
        writer.close()
        return False
