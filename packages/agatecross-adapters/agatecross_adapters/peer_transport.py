"""Interface through which daemons send each other control requests."""

from collections.abc import Awaitable, Callable
from typing import Protocol

from agatecross_core.ids import Address, Millis

from .codec import ControlMessage

ControlHandler = Callable[[ControlMessage], Awaitable[ControlMessage]]


class PeerTransport(Protocol):
    """Sends and answers control requests between daemons."""

    async def listen(self, address: Address, handler: ControlHandler) -> Address:
        """Start answering control requests and return the bound address."""
        ...

    async def request(
        self, peer: Address, message: ControlMessage, timeout: Millis
    ) -> ControlMessage:
        """Return the peer's reply; raises `PeerError`."""
        ...

    async def close(self) -> None:
        """Close the listener and every connection."""
        ...
